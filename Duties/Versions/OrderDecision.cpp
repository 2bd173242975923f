#include "Duties/Versions/OrderDecision.h"

namespace lavender::versions {

std::optional<weight_order>
DecideOrder(const server_report& aReport,
            const target_versions& aTargetVersions)
{
  if (aReport.mIsBusy) {
    return std::nullopt;
  }
  for (const auto& [model, version] : aTargetVersions) {
    const auto held = aReport.mVersions.find(model);
    if (held != aReport.mVersions.end() && held->second >= version) {
      continue;
    }
    weight_order order;
    order.mServerId = aReport.mServerId;
    order.mModel = model;
    order.mVersion = version;
    order.mAcceptedOrders = aReport.mAcceptedOrders;
    return order;
  }
  return std::nullopt;
}

} // namespace lavender::versions
