#pragma once

#include "Duties/Versions/GiverClaim.h"
#include "Duties/Versions/OrderDecision.h"
#include "Libraries/Edge/Caller.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace lavender::versions {

struct order_dependencies
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  edge::endpoint mServer;
  std::string mName;
  /** Entries to ask, the preferred one first; told through the callback. */
  std::function<void(std::function<void(std::vector<edge::endpoint>)>)>
    mEntries;
  /** Claims the server for this giver; none while it can't be had. */
  std::function<void(claim_done)> mClaim;
  std::function<edge::request()> mEncodeReport;
  std::function<std::optional<server_report>(const edge::response&)>
    mDecodeReport;
  std::function<edge::request(const weight_order&)> mEncodeOrder;
  /** Pause between two looks at the server's report while it loads. */
  milliseconds mLoadLook{ 100 };
};

/** Gives one model server its orders. Asks an entry which versions are wanted,
 * reads the server's report, and orders what is missing. An entry answers only
 * the one that holds the server's claim; one that is told that it doesn't
 * claims the server anew. */
class order_duty
{
public:
  explicit order_duty(order_dependencies aParts);

  void Start();

private:
  void Claim();
  void FindEntries();
  void Ask();
  void TakeAnswer(edge::call_end aEnd, const edge::response& aAnswer);
  void ReadReport();
  void HandleReport(const server_report& aReport);
  void Give(const weight_order& aOrder);
  void After(milliseconds aPause, void (order_duty::*aStep)());

  order_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
  std::vector<edge::endpoint> mEntries;
  std::size_t mEntry = 0;
  /** When to go back to the preferred entry, while another one is asked. */
  time_point mPreferredAgainAt;
  order_permission mRight;
  /** When an entry last told what is wanted. */
  time_point mToldAt;
  target_versions mWanted;
  std::map<std::string, std::int64_t> mHeld;
};

} // namespace lavender::versions
