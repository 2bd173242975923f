#pragma once

#include "Duties/Registration/Announcement.h"
#include "Libraries/Core/Scheduler.h"

#include <functional>

namespace lavender::registration {

/** Path at which entries ask others to announce them; the body is the entry. */
constexpr char kAnnouncePath[] = "/announce";
/** Status if the entry wasn't announced and should ask another one. */
constexpr unsigned kNotAnnounced = 421;

struct registrar_dependencies
{
  scheduler mScheduler;
  const objects::object_store& mStore;
  std::string mKind;
  /** Name of this entry and of the object that it writes. */
  std::string mName;
};

/** @param aIsAnnounced whether the store has the announcement */
using announce_done = std::function<void(bool aIsAnnounced)>;

/** Announces other entries in this entry's own object. Entries that ask at
 * about the same time share a write. */
class registrar
{
public:
  explicit registrar(registrar_dependencies aDependencies);

  /** Records this entry's own object as it is in the store. */
  void SetOwnObject(const objects::stored_object& aObject);
  /** Refuses at once if this entry has no object, or announces many entries
   * already. */
  void Announce(const announced_entry& aEntry, announce_done aDone);

private:
  struct request
  {
    announced_entry mEntry;
    announce_done mDone;
  };

  void ScheduleWrite();
  void Write(int aRetriesLeft);
  void HandleWritten(const objects::object_reply& aReply,
                     const json::value& aSpec,
                     int aRetriesLeft);

  const registrar_dependencies mDependencies;
  objects::stored_object mOwnObject;
  std::vector<request> mWaiting;
  /** Requests of the write under way. */
  std::vector<request> mWriting;
  planned_action mNextWrite;
};

} // namespace lavender::registration
