#pragma once

#include "Libraries/Http/Message.h"
#include "Libraries/Json/Value.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace lavender::standin {

/** A service whose calls may not be repeated, such as a booking: it counts
 * how often each request id ran. */
class plain_service
{
public:
  http::response Serve(const http::request& aRequest);

private:
  http::response RunCall(const http::request& aRequest);
  http::response SetFaults(const http::request& aRequest);

  std::mutex mMutex;
  std::chrono::milliseconds mSlowness{ 0 };
  bool mFails = false;
  std::int64_t mBookings = 0;
  std::int64_t mEnded = 0;
  std::map<std::string, std::int64_t> mRunsById;
  /** Runs for each body; a test that sends each body once sees repeats. */
  std::map<std::string, std::int64_t> mRunsByBody;
  std::string mReceived;
};

} // namespace lavender::standin
