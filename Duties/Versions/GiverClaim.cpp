#include "Duties/Versions/GiverClaim.h"

#include "Libraries/Core/Identity.h"
#include "Libraries/Json/Value.h"

#include <algorithm>

namespace lavender::versions {

using objects::store_outcome;

namespace {

/** Each claim contains a new random name, because a PUT that changes nothing
 * creates no new revision. */
std::string
EncodeClaim(const std::string& aController, bool aIsTakenOver)
{
  return json::Write(json::object{ { "giver", aController },
                                   { "takenOver", aIsTakenOver },
                                   { "claim", MakeRandomName() } });
}

order_permission
GrantOf(const objects::stored_object& aClaimed)
{
  const auto claim = DecodeClaim(aClaimed);
  return { claim.mEpoch,
           boot_clock::now() +
             (claim.mIsTakenOver ? kTakeoverDelay : milliseconds(0)) };
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
           aObject.mRevision };
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

void
ClaimServer(const objects::object_store& aStore,
            const std::string& aClaimName,
            const std::string& aController,
            claim_done aDone)
{
  aStore.mCreate(
    kControllerKind,
    aClaimName,
    EncodeClaim(aController, false),
    [&aStore, aClaimName, aController, done = std::move(aDone)](
      const objects::object_reply& aReply) {
      if (aReply.mOutcome == store_outcome::Conflict) {
        ClaimIfUnchanged(
          aStore, aClaimName, DecodeClaim(aReply.mObject), aController, done);
      } else if (aReply.mOutcome == store_outcome::Done) {
        done(GrantOf(aReply.mObject));
      } else {
        done(std::nullopt);
      }
    });
}

void
ClaimIfUnchanged(const objects::object_store& aStore,
                 const std::string& aClaimName,
                 const controller_claim& aSeen,
                 const std::string& aController,
                 claim_done aDone)
{
  const auto take = [done =
                       std::move(aDone)](const objects::object_reply& aReply) {
    done(aReply.mOutcome == store_outcome::Done
           ? std::optional(GrantOf(aReply.mObject))
           : std::nullopt);
  };
  if (aSeen.mEpoch == 0) {
    aStore.mCreate(
      kControllerKind, aClaimName, EncodeClaim(aController, false), take);
    return;
  }
  // A controller that restarts and claims again may still have to wait for the
  // last order of the controller before it.
  const bool isTakenOver =
    aSeen.mIsTakenOver || aSeen.mController != aController;
  aStore.mReplace(kControllerKind,
                  aClaimName,
                  aSeen.mEpoch,
                  EncodeClaim(aController, isTakenOver),
                  take);
}

} // namespace lavender::versions
