#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <map>
#include <optional>
#include <string>

/** Who gives a backend server its orders. Each server has one giver at a time,
 * by an object of the store that only a conditional write changes: the agent
 * beside it, or an entry where there is none or it is gone. The object's
 * revision is the giver's epoch, so epochs grow from one giver to the next. */
namespace lavender::versions {

constexpr char kControllerKind[] = "ordergivers";

/** Name of the object for the server at an address. */
std::string
ClaimName(const edge::endpoint& aServer);

struct controller_claim
{
  std::string mController;
  /** Another giver had it before, whose last order may still be on its way. */
  bool mIsTakenOver = false;
  objects::revision_number mEpoch = 0;
};

/** All claims that are known here, by the objects' names. */
using claim_table = std::map<std::string, controller_claim>;

controller_claim
DecodeClaim(const objects::stored_object& aObject);

void
ApplyClaimListing(claim_table& aTable,
                  const std::map<std::string, objects::stored_object>& aListed);
void
ApplyClaimEvent(claim_table& aTable, const objects::object_event& aEvent);

/** Whether a later claim than the asker's is known. */
bool
IsSuperseded(const claim_table& aTable,
             const std::string& aClaimName,
             const controller_claim& aAsker);

/** A giver orders only this long after an entry has last told it what its
 * server shall hold: entries tell it to the one that holds the claim. */
constexpr milliseconds kAnswerHolds{ 2000 };
/** A giver that took a claim from another one waits this long before its first
 * order: until all entries have heard of it (a watch, its loss and a listing
 * take 4.6 s), what they said before has lapsed, and an order on its way has
 * arrived or is lost. */
constexpr milliseconds kFirstOrderAfter{ 8000 };

/** The right to give orders from some time on. */
struct order_permission
{
  std::int64_t mEpoch = 0;
  time_point mNotBefore;
};

using claim_done = std::function<void(std::optional<order_permission>)>;

/** Claims a server for a giver whoever has it; none when the store can't be
 * asked or another one was faster. */
void
ClaimServer(const objects::object_store& aStore,
            const std::string& aClaimName,
            const std::string& aGiver,
            claim_done aDone);

/** The same if the claim is still as seen; 0 for a server without claim. */
void
ClaimIfUnchanged(const objects::object_store& aStore,
                 const std::string& aClaimName,
                 const controller_claim& aSeen,
                 const std::string& aGiver,
                 claim_done aDone);

} // namespace lavender::versions
