#pragma once

#include "Duties/Versions/OrderDecision.h"
#include "Libraries/Edge/Caller.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <vector>

namespace lavender::versions {

struct order_parts
{
  boost::asio::io_context& mLoop;
  edge::client_pool& mClients;
  edge::endpoint mServer;
  std::string mName;
  /** Entries to ask, the preferred one first; told through the callback. */
  std::function<void(std::function<void(std::vector<edge::endpoint>)>)>
    mEntries;
  /** A number that is higher than in any earlier life of this process; none
   * while the store can't be asked. */
  std::function<void(std::function<void(std::optional<std::int64_t>)>)> mEpoch;
  std::function<edge::request()> mEncodeReport;
  std::function<std::optional<server_report>(const edge::response&)>
    mDecodeReport;
  std::function<edge::request(const weight_order&)> mEncodeOrder;
};

/** Beside one model server: the only process that ever gives it orders, so
 * that no two holders can race and no lease is needed. Asks an entry which
 * versions are wanted, reads the server's report, and orders what is missing.
 */
class order_duty
{
public:
  explicit order_duty(order_parts aParts);

  void Start();

private:
  void FindEpoch();
  void FindEntries();
  void Ask();
  void TakeAnswer(edge::call_end aEnd, const edge::response& aAnswer);
  void ReadReport();
  void TakeReport(const server_report& aReport);
  void Give(const weight_order& aOrder);
  void After(milliseconds aPause, void (order_duty::*aStep)());

  order_parts mParts;
  boost::asio::steady_timer mTimer;
  std::vector<edge::endpoint> mEntries;
  std::size_t mEntry = 0;
  std::int64_t mEpoch = 0;
  wanted_versions mWanted;
  std::map<std::string, std::int64_t> mHeld;
};

} // namespace lavender::versions
