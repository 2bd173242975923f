#include "Libraries/ObjectStore/ListAll.h"

#include <memory>

namespace lavender::objects {

namespace {

struct listing
{
  const object_store& mStore;
  std::string mKind;
  freshness mFreshness;
  listing_done mDone;
  std::vector<stored_object> mObjects;
};

void
ListPage(const std::shared_ptr<listing>& aListing, const std::string& aAfter)
{
  aListing->mStore.mList(
    aListing->mKind,
    aAfter,
    aListing->mFreshness,
    [aListing](const list_reply& aReply) {
      auto& objects = aListing->mObjects;
      objects.insert(
        objects.end(), aReply.mObjects.begin(), aReply.mObjects.end());
      if (aReply.mHasMore && !aReply.mObjects.empty()) {
        ListPage(aListing, objects.back().mName);
        return;
      }
      aListing->mDone(aReply.mOutcome == store_outcome::Done,
                      std::move(objects));
    });
}

} // namespace

void
ListAll(const object_store& aStore,
        const std::string& aKind,
        freshness aFreshness,
        listing_done aDone)
{
  ListPage(std::make_shared<listing>(
             listing{ aStore, aKind, aFreshness, std::move(aDone), {} }),
           {});
}

} // namespace lavender::objects
