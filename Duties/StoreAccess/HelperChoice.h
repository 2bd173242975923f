#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** How an entry's calls reach the platform's store: directly, or through
 * another entry while the store turns this one away and serves others. */
namespace lavender::storeaccess {

/** Another entry that may pass a call on. */
struct helper
{
  std::string mName;
  edge::endpoint mAddress;
};

/** Whom this entry may ask at one moment. */
struct helper_candidates
{
  std::string mSelf;
  /** The entry whose watch of the store this one hears of: the store served it
   * a moment ago. */
  std::string mOrigin;
  /** All entries; empty while nobody is known whom the store serves. */
  std::vector<helper> mEntries;
};

/** What earlier calls showed. */
struct helper_memory
{
  /** The one that helped last, unless it was the origin. */
  std::string mLast;
  std::map<std::string, time_point> mAvoidedUntil;
};

/** The entry to ask next for one call; none when all that may help have been
 * asked or have refused lately.
 *
 * First the one that helped last. Without such a one each entry begins at
 * another helper, so that many that are cut off at once spread over all; the
 * origin, which surely reaches the store and is the same for all, comes second.
 * @param aAsked entries asked for this call before */
std::optional<helper>
ChooseHelper(const helper_memory& aMemory,
             const helper_candidates& aView,
             const std::set<std::string>& aAsked,
             time_point aNow);

void
NoteHelped(helper_memory& aMemory,
           const helper_candidates& aView,
           const std::string& aName);

void
NoteRefused(helper_memory& aMemory,
            const std::string& aName,
            milliseconds aAvoidFor,
            time_point aNow);

} // namespace lavender::storeaccess
