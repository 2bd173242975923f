#pragma once

#include "Duties/Registration/Registrar.h"
#include "Libraries/ObjectStore/ListAll.h"

namespace lavender::registration {

struct announcer_dependencies
{
  scheduler mScheduler;
  const objects::object_store& mStore;
  std::string mKind;
  announced_entry mSelf;
  /** Asks another entry to announce this one. */
  std::function<
    void(const edge::endpoint&, const announced_entry&, announce_done)>
    mAsk;
  /** Called with this entry's own object whenever it is read or created. */
  std::function<void(const objects::stored_object&)> mOnOwnObject;
  /** Called once with the objects that announce the entries; with those that
   * were read if the store didn't answer for all pages. */
  std::function<void(announcements)> mOnJoined;
};

/** Announces an entry to the others, and lists them at its start.
 *
 * Hundreds of entries may start at the same moment, and the store limits and
 * bills their calls. An entry that starts again is still announced and writes
 * nothing. The first ones of a fleet create an object each; later ones ask one
 * of them, which announces many in one write. Listings may be stale, which is
 * cheap; one that lacks this entry is too old and is repeated. */
class announcer
{
public:
  explicit announcer(announcer_dependencies aDependencies);

  void Start();
  /** Creates or corrects this entry's own object; repeats until the store has
   * it. */
  void Announce();

private:
  using objects_done =
    std::function<void(bool aIsComplete, announcements aListed)>;

  void List(objects::freshness aFreshness, objects_done aDone);
  bool IsAnnouncedIn(const announcements& aListed) const;
  void AnnounceThroughOthers();
  void AskNext(std::vector<announced_entry> aRegistrars);
  void JoinOthers();
  void Join(const announcements& aListed);
  /** Announces this entry in its own object, which has other content. */
  void CorrectOwnObject(const objects::stored_object& aObject);
  void HandleAnnounced(const objects::object_reply& aReply,
                       const json::value& aContent);

  const announcer_dependencies mDependencies;
  planned_action mTurn;
  planned_action mJoin;
  planned_action mRetry;
  bool mHasJoined = false;
};

} // namespace lavender::registration
