#pragma once

#include "Libraries/Core/Scheduler.h"
#include "Libraries/ObjectStore/ListAll.h"

#include <functional>
#include <string>
#include <vector>

namespace lavender::registration {

struct announcer_dependencies
{
  scheduler mScheduler;
  const objects::object_store& mStore;
  std::string mKind;
  std::string mName;
  /** What the process publishes of itself, as JSON. */
  std::string mSpec;
  /** Called once with all announced processes; with none if the store gave no
   * answer. */
  std::function<void(std::vector<objects::stored_object>)> mOnJoined;
};

/** Announces a process to the others by an object under its name, and lists the
 * others at its start.
 *
 * Hundreds of processes may start at the same moment, and the store limits and
 * bills their calls. A process that starts again is still announced and writes
 * nothing. Listings may be stale, which is cheap; one that lacks this process's
 * own object is too old and is repeated. */
class announcer
{
public:
  explicit announcer(announcer_dependencies aDependencies);

  void Start();
  /** Creates or corrects the object; repeats until the store has it. */
  void Announce();

private:
  void List(objects::freshness aFreshness, objects::listing_done aDone);
  bool IsAnnouncedIn(const std::vector<objects::stored_object>& aListed) const;
  void HandleAnnounced(const objects::object_reply& aReply);
  void Join(std::vector<objects::stored_object> aListed);
  void JoinOthers();

  const announcer_dependencies mDependencies;
  planned_action mJoin;
  planned_action mRetry;
  bool mHasJoined = false;
};

} // namespace lavender::registration
