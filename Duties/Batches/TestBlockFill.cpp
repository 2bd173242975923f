#include "Duties/Batches/BlockFill.h"

#include <boost/test/unit_test.hpp>
#include <rapidcheck.h>

using namespace lavender;
using namespace lavender::batches;

namespace {

/** Text that grows when it is written, or not. */
std::string
AnyText(int aMaximumLength)
{
  const auto length =
    static_cast<std::size_t>(*rc::gen::inRange(0, std::max(1, aMaximumLength)));
  return *rc::gen::container<std::string>(
    length, rc::gen::element('a', '"', '\\', '\n', '\x01', ' '));
}

site::server_start
AnyServer()
{
  return { "server-" + AnyText(20),
           *rc::gen::inRange<std::int64_t>(0, 1LL << 50) };
}

run_fate
AnyFate()
{
  return *rc::gen::element(
    run_fate::Placed, run_fate::Open, run_fate::Survived, run_fate::Ended);
}

int
AnyCount(int aMaximum)
{
  return *rc::gen::inRange(0, aMaximum + 1);
}

/** What a batch may have to store at once. */
struct material
{
  result_block mAll;
  result_log mLog;
};

material
AnyMaterial()
{
  material any;
  any.mAll.mWriter = AnyText(40);
  const int items = AnyCount(40);
  for (int i = 0; i < items; ++i) {
    const auto index = static_cast<std::size_t>(i);
    for (int runs = AnyCount(3); runs > 0; --runs) {
      any.mAll.mRuns.push_back({ index, AnyServer(), AnyFate() });
    }
    if (AnyCount(3) == 0) {
      any.mAll.mErrors.push_back({ index, AnyCount(9), AnyCount(9) });
    }
    if (AnyCount(3) == 0) {
      text_part part;
      part.mItem = index;
      part.mGenerated.mData = AnyText(300);
      part.mGenerated.mLastEvent = i;
      any.mAll.mParts.push_back(std::move(part));
    }
    const auto id = "item" + std::to_string(i) + AnyText(30);
    AddPending(any.mLog, id, json::Write(json::value(AnyText(300))));
  }
  for (int servers = AnyCount(20); servers > 0; --servers) {
    any.mAll.mServers.mAdded.push_back(AnyServer());
    any.mAll.mServers.mRemoved.push_back(AnyServer());
  }
  any.mAll.mServers.mBeginsTerm = *rc::gen::arbitrary<bool>();
  return any;
}

/** Removes from what is to be stored what the block holds. */
void
RemoveStored(material& aMaterial, const result_block& aBlock)
{
  const auto cut = [](auto& aRecords, std::size_t aStored) {
    aRecords.erase(aRecords.begin(),
                   aRecords.begin() + static_cast<std::ptrdiff_t>(aStored));
  };
  cut(aMaterial.mAll.mRuns, aBlock.mRuns.size());
  cut(aMaterial.mAll.mErrors, aBlock.mErrors.size());
  cut(aMaterial.mAll.mParts, aBlock.mParts.size());
  cut(aMaterial.mAll.mServers.mAdded, aBlock.mServers.mAdded.size());
  cut(aMaterial.mAll.mServers.mRemoved, aBlock.mServers.mRemoved.size());
  if (aBlock.mServers.mBeginsTerm) {
    aMaterial.mAll.mServers.mBeginsTerm = false;
  }
  ApplyBlock(aMaterial.mLog, aBlock);
}

bool
HasRecords(const material& aMaterial)
{
  return !IsEmpty(aMaterial.mAll) || !aMaterial.mLog.mPending.mItemIds.empty();
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestBlockFill)

// Guards against a block that the store refuses for good, so that nothing of
// its batch is stored any more: more is written than was counted.
BOOST_AUTO_TEST_CASE(EachBlockFitsAndAllAreWholeAndInOrder)
{
  BOOST_TEST(rc::check("blocks", [] {
    auto left = AnyMaterial();
    const auto pending = left.mLog.mPending;
    // Any one record fits beside the frame.
    const auto largest =
      static_cast<std::size_t>(*rc::gen::inRange(4000, 9000));
    std::size_t blocks = 0;
    while (HasRecords(left)) {
      const auto block = FillBlock(left.mAll, left.mLog, largest);
      RC_ASSERT(EncodeBlock(block).size() <= largest);
      RC_ASSERT(!IsEmpty(block));
      RC_ASSERT(++blocks < 1000u);
      if (!block.mRuns.empty() && block.mRuns.size() < left.mAll.mRuns.size()) {
        RC_ASSERT(block.mRuns.back().mItem !=
                  left.mAll.mRuns[block.mRuns.size()].mItem);
      }
      if (block.mServers.mBeginsTerm) {
        RC_ASSERT(block.mRuns.size() == left.mAll.mRuns.size());
        RC_ASSERT(block.mErrors.size() == left.mAll.mErrors.size());
      }
      RemoveStored(left, block);
    }
    RC_ASSERT(left.mLog.mListed == pending.mEntries);
  }));
}

// Guards against a batch whose end the store refuses for good.
BOOST_AUTO_TEST_CASE(CountedRunsAreCutToFitThoseWithMostEndsLast)
{
  BOOST_TEST(rc::check("counted runs", [] {
    std::vector<item_run> runs;
    for (int i = 0; i < AnyCount(40); ++i) {
      for (int ends = AnyCount(3); ends > 0; --ends) {
        runs.push_back({ "item" + std::to_string(i), AnyServer(), AnyFate() });
      }
    }
    const auto before = runs.size();
    const auto largest = static_cast<std::size_t>(*rc::gen::inRange(0, 6000));
    const auto cut = CutCountedRuns(runs, largest);
    RC_ASSERT(cut + runs.size() == before);
    batch_metadata metadata;
    const auto frame = EncodeMetadataStatus(metadata).size() + 20;
    metadata.mCountedRuns = runs;
    RC_ASSERT(EncodeMetadataStatus(metadata).size() <= largest + frame);
  }));
}

// Guards against items that the store refuses for good beside a long list of
// servers.
BOOST_AUTO_TEST_CASE(EachObjectOfItemsFitsAndAllAreReadBack)
{
  BOOST_TEST(rc::check("items", [] {
    submission stored;
    for (int i = 0; i < AnyCount(40); ++i) {
      batch_item item;
      item.mId = "item" + std::to_string(i);
      item.mPath = AnyText(30);
      item.mBodyBase64 =
        std::string(static_cast<std::size_t>(AnyCount(500)), 'a');
      if (AnyCount(1) == 0) {
        item.mPlannedServer = AnyServer();
      }
      stored.mItems.push_back(std::move(item));
    }
    for (int servers = AnyCount(60); servers > 0; --servers) {
      stored.mServers.insert(AnyServer());
    }
    const auto largest =
      static_cast<std::size_t>(*rc::gen::inRange(2000, 9000));
    submission read;
    for (const auto& part : EncodeItems(stored, largest)) {
      RC_ASSERT(part.size() <= largest);
      objects::stored_object object;
      object.mSpec = *json::Parse(part);
      RC_ASSERT(DecodeItems(object, read));
    }
    RC_ASSERT(read.mServers == stored.mServers);
    RC_ASSERT(read.mItems.size() == stored.mItems.size());
    for (std::size_t i = 0; i < read.mItems.size(); ++i) {
      RC_ASSERT(read.mItems[i].mId == stored.mItems[i].mId);
      RC_ASSERT(read.mItems[i].mBodyBase64 == stored.mItems[i].mBodyBase64);
      RC_ASSERT(read.mItems[i].mPlannedServer ==
                stored.mItems[i].mPlannedServer);
    }
  }));
}

BOOST_AUTO_TEST_SUITE_END()
