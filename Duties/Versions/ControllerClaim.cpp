#include "Duties/Versions/ControllerClaim.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Json/Value.h"

#include <algorithm>

namespace lavender::versions {

using objects::store_outcome;

namespace {

/** Each claim contains a new random name, because a PUT that changes nothing
 * creates no new revision. */
std::string
EncodeClaim(const claimant& aClaimant, bool aIsTakenOver)
{
  return json::Write(
    json::object{ { "giver", aClaimant.mName },
                  { "takenOver", aIsTakenOver },
                  { "entry", aClaimant.mKind == controller_kind::Entry },
                  { "claim", MakeRandomName() } });
}

/** Converts the store's reply to the write of a claim. */
std::optional<order_permission>
PermissionOf(const objects::object_reply& aReply,
             milliseconds aDelay,
             bool aIsFirstClaim = false)
{
  if (aReply.mOutcome != store_outcome::Done) {
    return std::nullopt;
  }
  return order_permission{ DecodeClaim(aReply.mObject).mEpoch,
                           boot_clock::now() + aDelay,
                           aIsFirstClaim };
}

/** Whether an agent's last order may still be in transit when the claim is
 * replaced. A controller that restarts and claims again may still have to wait
 * for the one before it. */
bool
MayHaveAgentsOrder(const controller_claim& aSeen, const claimant& aClaimant)
{
  return aSeen.mIsTakenOver || (aSeen.mKind == controller_kind::Agent &&
                                aSeen.mController != aClaimant.mName);
}

} // namespace

std::string
ClaimName(const edge::endpoint& aServer)
{
  auto name = aServer.Text();
  std::replace(name.begin(), name.end(), ':', '-');
  return name;
}

controller_claim
DecodeClaim(const objects::stored_object& aObject)
{
  return { json::StringAt(aObject.mSpec, "giver", ""),
           json::BooleanAt(aObject.mSpec, "takenOver", false),
           aObject.mRevision,
           json::BooleanAt(aObject.mSpec, "entry", false)
             ? controller_kind::Entry
             : controller_kind::Agent };
}

void
ApplyClaimListing(claim_table& aTable,
                  const std::map<std::string, objects::stored_object>& aListed)
{
  aTable.clear();
  for (const auto& [name, object] : aListed) {
    aTable[name] = DecodeClaim(object);
  }
}

void
ApplyClaimEvent(claim_table& aTable, const objects::object_event& aEvent)
{
  if (aEvent.mIsDeleted) {
    aTable.erase(aEvent.mObject.mName);
  } else {
    aTable[aEvent.mObject.mName] = DecodeClaim(aEvent.mObject);
  }
}

bool
IsSuperseded(const claim_table& aTable,
             const std::string& aClaimName,
             const controller_claim& aRequester)
{
  const auto known = aTable.find(aClaimName);
  return known != aTable.end() && known->second.mEpoch > aRequester.mEpoch;
}

milliseconds
TakeoverDelay(const controller_claim& aSeen, const claimant& aClaimant)
{
  if (MayHaveAgentsOrder(aSeen, aClaimant)) {
    return kTakeoverDelay;
  }
  if (aSeen.mKind == controller_kind::Agent) {
    return milliseconds(0);
  }
  return aClaimant.mKind == controller_kind::Entry
           ? std::max(kEntryTakeoverDelay, aClaimant.mLeaseDuration)
           : kTakeoverDelay;
}

void
ClaimServer(const objects::object_store& aStore,
            const std::string& aClaimName,
            const claimant& aClaimant,
            claim_done aDone)
{
  aStore.mCreate(
    kControllerKind,
    aClaimName,
    EncodeClaim(aClaimant, false),
    [&aStore, aClaimName, aClaimant, done = std::move(aDone)](
      const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Conflict) {
        ClaimIfUnchanged(
          aStore, aClaimName, DecodeClaim(aReply.mObject), aClaimant, done);
      } else {
        done(PermissionOf(aReply, milliseconds(0), true));
      }
    });
}

void
ClaimIfUnchanged(const objects::object_store& aStore,
                 const std::string& aClaimName,
                 const controller_claim& aSeen,
                 const claimant& aClaimant,
                 claim_done aDone)
{
  if (aSeen.mEpoch == 0) {
    aStore.mCreate(kControllerKind,
                   aClaimName,
                   EncodeClaim(aClaimant, false),
                   [done = std::move(aDone)](const auto& aReply) {
                     done(PermissionOf(aReply, milliseconds(0), true));
                   });
    return;
  }
  aStore.mReplace(kControllerKind,
                  aClaimName,
                  aSeen.mEpoch,
                  EncodeClaim(aClaimant, MayHaveAgentsOrder(aSeen, aClaimant)),
                  [delay = TakeoverDelay(aSeen, aClaimant),
                   done = std::move(aDone)](const auto& aReply) {
                    done(PermissionOf(aReply, delay));
                  });
}

void
CheckClaim(const objects::object_store& aStore,
           const std::string& aClaimName,
           objects::revision_number aEpoch,
           std::function<void(claim_check)> aDone)
{
  aStore.mGet(
    kControllerKind,
    aClaimName,
    objects::freshness::Linearizable,
    [aEpoch, done = std::move(aDone)](const objects::object_reply& aReply) {
      const bool isRead = aReply.mOutcome == store_outcome::Done;
      if (!isRead && aReply.mOutcome != store_outcome::NotFound) {
        done(claim_check::Unknown);
        return;
      }
      done(isRead && aReply.mObject.mRevision == aEpoch ? claim_check::Held
                                                        : claim_check::Lost);
    });
}

} // namespace lavender::versions
