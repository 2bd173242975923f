#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"
#include "Libraries/ObjectStore/ObjectStore.h"

#include <map>
#include <optional>
#include <string>

/** Claims on backend servers. The holder of a server's claim is its controller,
 * the only process that may send it orders: the agent on the server's instance,
 * or an entry if there is no agent or the agent is gone. The claim is an object
 * in the store that is changed only by conditional writes. The object's
 * revision is the claim's epoch, so epochs grow with each new claim. */
namespace lavender::versions {

constexpr char kControllerKind[] = "ordergivers";

/** Returns the name of the claim object of the server at that address. */
std::string
ClaimName(const edge::endpoint& aServer);

enum class controller_kind
{
  /** The agent on the server's instance. */
  Agent,
  /** An entry, which reads the claim from the store before each order. */
  Entry
};

struct controller_claim
{
  std::string mController;
  /** An agent held the claim before, and its last order may still be in
   * transit. */
  bool mIsTakenOver = false;
  objects::revision_number mEpoch = 0;
  controller_kind mKind = controller_kind::Agent;
};

/** Who claims a server. */
struct claimant
{
  std::string mName;
  controller_kind mKind = controller_kind::Agent;
  /** Time within which a server that checks no epochs may not get orders of two
   * controllers in turn. Known to entries only. */
  milliseconds mLeaseDuration{ 0 };
};

/** All claims known to this process, by name of the claim object. */
using claim_table = std::map<std::string, controller_claim>;

controller_claim
DecodeClaim(const objects::stored_object& aObject);

void
ApplyClaimListing(claim_table& aTable,
                  const std::map<std::string, objects::stored_object>& aListed);
void
ApplyClaimEvent(claim_table& aTable, const objects::object_event& aEvent);

/** Whether a later claim on the server is known than the requester's. */
bool
IsSuperseded(const claim_table& aTable,
             const std::string& aClaimName,
             const controller_claim& aRequester);

/** A controller may send orders for this long after it received target
 * versions. Entries send them only to the holder of the claim. */
constexpr milliseconds kAssignmentValidity{ 2000 };
/** An entry sends an order within this time after it has asked the store
 * whether it still holds the claim. */
constexpr milliseconds kClaimCheckValidity{ 500 };
/** An entry that took a claim over from another entry waits at least this long
 * before its first order: the other entry's last order has arrived or is lost
 * by then. If the lease is longer, it waits for the lease. */
constexpr milliseconds kEntryTakeoverDelay{ 1500 };
/** A controller that took a claim over in any other way waits this long before
 * its first order. By then all entries know of the new claim (losing a watch
 * and listing again takes 4.6 s), assignments to the previous controller have
 * expired, and its last order has arrived or is lost. */
constexpr milliseconds kTakeoverDelay{ 8000 };

/** Permission to send orders with that epoch, from some time on. */
struct order_permission
{
  std::int64_t mEpoch = 0;
  time_point mNotBefore;
  /** The server had no claim before, so the whole site may be new. */
  bool mIsFirstClaim = false;
};

using claim_done = std::function<void(std::optional<order_permission>)>;

/** How long a claimant waits before its first order.
 * @param aSeen the claim that it replaces */
milliseconds
TakeoverDelay(const controller_claim& aSeen, const claimant& aClaimant);

/** Claims a server, whoever holds its claim. Passes none to the callback if the
 * store gave no answer or the claim was changed concurrently. */
void
ClaimServer(const objects::object_store& aStore,
            const std::string& aClaimName,
            const claimant& aClaimant,
            claim_done aDone);

/** Claims a server if its claim is still the one that was seen.
 * @param aSeen with epoch 0 if the server had no claim */
void
ClaimIfUnchanged(const objects::object_store& aStore,
                 const std::string& aClaimName,
                 const controller_claim& aSeen,
                 const claimant& aClaimant,
                 claim_done aDone);

enum class claim_check
{
  Held,
  Lost,
  /** The store gave no answer. */
  Unknown
};

/** Reads from the store whether the claim with that epoch is still in force. */
void
CheckClaim(const objects::object_store& aStore,
           const std::string& aClaimName,
           objects::revision_number aEpoch,
           std::function<void(claim_check)> aDone);

} // namespace lavender::versions
