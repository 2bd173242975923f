#pragma once

#include "Libraries/Core/Clock.h"
#include "Libraries/Edge/Message.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/** Routes an entry's calls to the platform's store: directly, or through
 * another entry while the store is unavailable to this one but serves others.
 */
namespace lavender::storeaccess {

/** An entry that may forward a call to the store. */
struct helper
{
  std::string mName;
  edge::endpoint mAddress;
};

/** The entries that this one may ask for help at one moment. */
struct helper_candidates
{
  std::string mSelf;
  /** The entry whose watch of the store provides this one's feed; the store has
   * thus served it recently. */
  std::string mOrigin;
  /** All entries; empty while no entry is known to be served by the store. */
  std::vector<helper> mEntries;
};

/** Results of earlier calls. */
struct helper_history
{
  /** The entry that helped last, unless it was the origin. */
  std::string mLast;
  std::map<std::string, time_point> mAvoidedUntil;
};

/** Returns the entry to ask next for one call; none if all were asked or have
 * refused recently.
 *
 * The entry that helped last is asked first. If there is none, each entry
 * begins at another helper, which spreads the load when many lose the store at
 * once. The origin is asked second: it almost certainly reaches the store, but
 * it is the same for all.
 * @param aAsked entries already asked for this call */
std::optional<helper>
ChooseHelper(const helper_history& aHistory,
             const helper_candidates& aView,
             const std::set<std::string>& aAsked,
             time_point aNow);

void
RecordHelp(helper_history& aHistory,
           const helper_candidates& aView,
           const std::string& aName);

void
RecordRefusal(helper_history& aHistory,
              const std::string& aName,
              milliseconds aAvoidFor,
              time_point aNow);

} // namespace lavender::storeaccess
