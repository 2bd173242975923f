#pragma once

#include "Libraries/ObjectStore/ObjectStore.h"

namespace lavender::objects {

/** What to list. */
struct listing_call
{
  std::string mKind;
  freshness mFreshness = freshness::Linearizable;
  /** Asked before each page but the first; the listing ends incomplete when it
   * returns false. Null if nothing ends it. */
  std::function<bool()> mMayGoOn{};
};

struct listing
{
  /** False if some page couldn't be read or led no further. The objects of the
   * pages before are there, but none may pass for gone. */
  bool mIsComplete = false;
  /** Store revision of the first page: changes made during the listing come
   * after it. */
  revision_number mStoreRevision = 0;
  object_map mObjects;
};

using listing_done = std::function<void(listing)>;

/** Lists all objects of a kind, page by page. Each page has to end at another
 * name than those before it: whatever the store answers, the listing ends.
 * @param aStore outlives the call */
void
ListAll(const object_store& aStore, listing_call aCall, listing_done aDone);

} // namespace lavender::objects
