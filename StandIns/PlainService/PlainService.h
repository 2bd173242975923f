#pragma once

#include "Libraries/Http/Message.h"
#include "Libraries/Json/Value.h"

#include <chrono>
#include <map>
#include <mutex>
#include <string>

namespace lavender::standin {

/** Simulates a service whose calls must not run twice, such as a booking
 * service. Counts the runs of each request id. */
class plain_service
{
public:
  http::response Serve(const http::request& aRequest);

private:
  http::response RunCall(const http::request& aRequest);
  http::response SetFaults(const http::request& aRequest);

  std::mutex mMutex;
  std::chrono::milliseconds mResponseDelay{ 0 };
  bool mFails = false;
  std::int64_t mBookings = 0;
  std::int64_t mCompletedRuns = 0;
  std::map<std::string, std::int64_t> mRunsById;
  /** Runs by request body. A test that sends each body once detects repeated
   * runs with it. */
  std::map<std::string, std::int64_t> mRunsByBody;
  std::string mReceived;
};

} // namespace lavender::standin
