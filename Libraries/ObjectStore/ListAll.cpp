#include "Libraries/ObjectStore/ListAll.h"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>

namespace lavender::objects {

namespace {

/** A listing under way. */
struct page_reader
{
  const object_store& mStore;
  listing_call mCall;
  listing_done mDone;
  listing mListing;
  /** Last names of the pages that were read. */
  std::set<std::string> mLastNames;
  bool mIsFirstPage = true;
};

using reader_ptr = std::shared_ptr<page_reader>;

/** Last name on the page that isn't empty; empty if there is no such name. */
std::string
LastName(const list_reply& aReply)
{
  if (!aReply.mLeftOutName.empty()) {
    return aReply.mLeftOutName;
  }
  const auto& objects = aReply.mObjects;
  const auto last =
    std::find_if(objects.rbegin(), objects.rend(), [](const auto& aObject) {
      return !aObject.mName.empty();
    });
  return last == objects.rend() ? std::string() : last->mName;
}

void
ApplyPage(const reader_ptr& aReader,
          const std::string& aAfter,
          list_reply aReply);

void
ReadPage(const reader_ptr& aReader, const std::string& aAfter)
{
  const auto& [kind, freshness, mayGoOn] = aReader->mCall;
  if (!aReader->mIsFirstPage && mayGoOn && !mayGoOn()) {
    aReader->mDone(std::move(aReader->mListing));
    return;
  }
  aReader->mStore.mList(
    kind, aAfter, freshness, [aReader, aAfter](list_reply aReply) {
      ApplyPage(aReader, aAfter, std::move(aReply));
    });
}

/** Ends a listing incomplete and reports the fault of its last page. */
void
Fail(const reader_ptr& aReader, const std::string& aAfter, listing_fault aFault)
{
  if (const auto& report = aReader->mStore.mOnListingFault) {
    report(aReader->mCall.mKind, aAfter, aFault);
  }
  aReader->mDone(std::move(aReader->mListing));
}

void
ApplyPage(const reader_ptr& aReader,
          const std::string& aAfter,
          list_reply aReply)
{
  auto& listing = aReader->mListing;
  if (aReply.mOutcome != store_outcome::Done) {
    aReader->mDone(std::move(listing));
    return;
  }
  if (std::exchange(aReader->mIsFirstPage, false)) {
    listing.mStoreRevision = aReply.mStoreRevision;
  }
  const auto last = LastName(aReply);
  const bool isForward = listing.mObjects.count(last) == 0 &&
                         aReader->mLastNames.insert(last).second;
  for (auto& object : aReply.mObjects) {
    auto name = object.mName;
    listing.mObjects[std::move(name)] = std::move(object);
  }
  if (!aReply.mHasMore) {
    listing.mIsComplete = true;
    aReader->mDone(std::move(listing));
  } else if (last.empty()) {
    Fail(aReader, aAfter, listing_fault::NoName);
  } else if (!isForward) {
    Fail(aReader, aAfter, listing_fault::NotForward);
  } else {
    ReadPage(aReader, last);
  }
}

} // namespace

void
ListAll(const object_store& aStore, listing_call aCall, listing_done aDone)
{
  ReadPage(std::make_shared<page_reader>(
             page_reader{ aStore, std::move(aCall), std::move(aDone), {}, {} }),
           {});
}

} // namespace lavender::objects
