#include "Libraries/ObjectStore/ListAll.h"

#include <memory>
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
  bool mIsFirstPage = true;
};

using reader_ptr = std::shared_ptr<page_reader>;

void
ApplyPage(const reader_ptr& aReader, list_reply aReply);

void
ReadPage(const reader_ptr& aReader, const std::string& aAfter)
{
  const auto& [kind, freshness, mayGoOn] = aReader->mCall;
  if (!aReader->mIsFirstPage && mayGoOn && !mayGoOn()) {
    aReader->mDone(std::move(aReader->mListing));
    return;
  }
  aReader->mStore.mList(kind, aAfter, freshness, [aReader](list_reply aReply) {
    ApplyPage(aReader, std::move(aReply));
  });
}

void
ApplyPage(const reader_ptr& aReader, list_reply aReply)
{
  auto& listing = aReader->mListing;
  if (aReply.mOutcome != store_outcome::Done) {
    aReader->mDone(std::move(listing));
    return;
  }
  if (std::exchange(aReader->mIsFirstPage, false)) {
    listing.mStoreRevision = aReply.mStoreRevision;
  }
  std::string last;
  for (auto& object : aReply.mObjects) {
    last = object.mName;
    listing.mObjects[last] = std::move(object);
  }
  if (aReply.mHasMore && !last.empty()) {
    ReadPage(aReader, last);
    return;
  }
  listing.mIsComplete = true;
  aReader->mDone(std::move(listing));
}

} // namespace

void
ListAll(const object_store& aStore, listing_call aCall, listing_done aDone)
{
  ReadPage(std::make_shared<page_reader>(
             page_reader{ aStore, std::move(aCall), std::move(aDone), {} }),
           {});
}

} // namespace lavender::objects
