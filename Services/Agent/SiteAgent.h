#pragma once

#include "Duties/Retirement/RetirementDuty.h"
#include "Duties/Versions/OrderDuty.h"
#include "Libraries/Edge/Message.h"
#include "Libraries/ObjectStore/ListAll.h"
#include "Libraries/Settings/Settings.h"
#include "platform/StoreClient.h"

#include <boost/asio/signal_set.hpp>
#include <optional>

namespace lavender::agent {

/** Settings of an agent on the users' platform. */
struct site_settings
{
  std::string mName;
  std::string mAvailabilityZone;
  edge::endpoint mStore;
  /** The model server on the same instance; none on an instance with a disk,
   * where the agent handles retirements. */
  std::optional<edge::endpoint> mServer;
};

std::vector<settings::setting>
DeclareSiteSettings();

site_settings
ReadSiteSettings(const settings::values& aValues, findings& aFindings);

/** Addresses of the listed entries in their order, so that all agents ask the
 * same one. None if the listing isn't complete: its first entry may not be the
 * one that the other agents ask. */
std::vector<edge::endpoint>
AddressesInOrder(const objects::listing& aEntries);

/** An agent on the users' platform. On the instance of a model server it sends
 * the server its load orders. On an instance with a disk it handles retirements
 * and writes nothing to the disk. */
class site_agent
{
public:
  explicit site_agent(site_settings aSettings);

  int Run();

private:
  void StartOrders();
  void StartRetirement();
  void ListEntries(std::function<void(std::vector<edge::endpoint>)> aDone);
  void WaitForSignals();

  const site_settings mSettings;
  boost::asio::io_context mLoop{ 1 };
  std::shared_ptr<edge::client_pool> mClients;
  platform::store_counts mStoreCounts;
  objects::object_store mStore;
  std::optional<versions::order_duty> mOrders;
  std::optional<retirement::retirement_duty> mRetirement;
  boost::asio::signal_set mSignals;
};

} // namespace lavender::agent
