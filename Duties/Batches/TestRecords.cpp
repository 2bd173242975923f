#include "Duties/Batches/Records.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::batches;

namespace {

batch_metadata
Metadata()
{
  batch_metadata metadata;
  metadata.mId = "step-1";
  metadata.mCustomer = "trainer";
  metadata.mHost = "train.example";
  metadata.mPath = "/r/x";
  metadata.mModel = "model";
  metadata.mMinimumVersion = 3;
  metadata.mTargetGroups = 5;
  metadata.mTotal = 48;
  metadata.mExpectedTokens = 9000;
  metadata.mParts = 2;
  metadata.mSubmittedAt =
    std::chrono::system_clock::time_point(milliseconds(1700000000123));
  metadata.mOwner = "entry-1";
  metadata.mRevision = 7;
  return metadata;
}

/** The object as the store returns it. */
objects::stored_object
Stored(const std::string& aName, const std::string& aSpec)
{
  objects::stored_object object;
  object.mName = aName;
  object.mRevision = 7;
  const auto spec = json::Parse(aSpec);
  BOOST_REQUIRE(spec);
  object.mSpec = *spec;
  return object;
}

batch_metadata
StoredAndRead(const batch_metadata& aMetadata)
{
  const auto read =
    DecodeMetadata(Stored(aMetadata.mId, EncodeMetadata(aMetadata)));
  BOOST_REQUIRE(read.has_value());
  return *read;
}

void
CheckSameBatch(const batch_metadata& aLeft, const batch_metadata& aRight)
{
  BOOST_TEST(aLeft.mId == aRight.mId);
  BOOST_TEST(aLeft.mCustomer == aRight.mCustomer);
  BOOST_TEST(aLeft.mHost == aRight.mHost);
  BOOST_TEST(aLeft.mPath == aRight.mPath);
  BOOST_TEST(aLeft.mModel == aRight.mModel);
  BOOST_TEST(aLeft.mMinimumVersion == aRight.mMinimumVersion);
  BOOST_TEST(aLeft.mTargetGroups == aRight.mTargetGroups);
  BOOST_TEST(aLeft.mTotal == aRight.mTotal);
  BOOST_TEST(aLeft.mExpectedTokens == aRight.mExpectedTokens);
  BOOST_TEST(aLeft.mParts == aRight.mParts);
  BOOST_TEST((aLeft.mSubmittedAt == aRight.mSubmittedAt));
  BOOST_TEST(aLeft.mOwner == aRight.mOwner);
  BOOST_TEST(aLeft.mIsEnded == aRight.mIsEnded);
  BOOST_TEST(aLeft.mRevision == aRight.mRevision);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestRecords)

// Guards against an entry that takes a batch over and places its items by other
// speeds than the entry that accepted it.
BOOST_AUTO_TEST_CASE(MetadataWithSpeedsIsReadAsItWasStored)
{
  auto metadata = Metadata();
  metadata.mLongItemTokens = 1200;
  metadata.mServerSpeeds = { { "server-0", scheduling::event_time(12.5) },
                             { "server-1", scheduling::event_time(25) } };
  metadata.mMedianEventTime = scheduling::event_time(18.75);
  const auto read = StoredAndRead(metadata);
  CheckSameBatch(read, metadata);
  BOOST_TEST(read.mLongItemTokens == 1200);
  BOOST_TEST(read.mMedianEventTime.count() == 18.75);
  BOOST_REQUIRE_EQUAL(read.mServerSpeeds.size(), 2U);
  for (std::size_t i = 0; i < 2; ++i) {
    const auto& told = metadata.mServerSpeeds[i];
    BOOST_TEST(read.mServerSpeeds[i].mServer == told.mServer);
    BOOST_TEST(read.mServerSpeeds[i].mEventTime.count() ==
               told.mEventTime.count());
  }
}

// Guards against batches that can't be read any more because an entry that
// knows no speeds accepted them.
BOOST_AUTO_TEST_CASE(MetadataWithoutSpeedsIsReadAsUnknown)
{
  const auto metadata = Metadata();
  const auto spec = Stored("step-1", EncodeMetadata(metadata)).mSpec;
  for (const auto* name : { "longTokens", "eventMs", "medianEventMs" }) {
    BOOST_TEST(!spec.Find(name), name);
  }
  const auto read = StoredAndRead(metadata);
  CheckSameBatch(read, metadata);
  BOOST_TEST(read.mLongItemTokens == 0);
  BOOST_TEST(read.mServerSpeeds.empty());
  BOOST_TEST(read.mMedianEventTime.count() == 0);
}

// Guards against an entry that takes a batch over and takes prompts for empty
// when it fits items into a server's memory.
BOOST_AUTO_TEST_CASE(PromptTokensOfItemsAreReadAsTheyWereStored)
{
  submission stored;
  stored.mItems.resize(3);
  stored.mItems[0].mPromptTokens = 700;
  stored.mItems[2].mPromptTokens = 12;
  submission read;
  for (const auto& part : EncodeItems(stored, 1 << 20)) {
    BOOST_TEST(DecodeItems(Stored("step-1.000000", part), read));
  }
  BOOST_REQUIRE_EQUAL(read.mItems.size(), 3U);
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_TEST(read.mItems[i].mPromptTokens == stored.mItems[i].mPromptTokens);
  }
  const std::string withoutPrompt = R"({"items":[{"id":"i0","path":"/r/x"}]})";
  BOOST_TEST(DecodeItems(Stored("step-1.000001", withoutPrompt), read));
  BOOST_TEST(read.mItems.back().mPromptTokens == 0);
}

// Guards against a count of ended servers that the next owner, or a later
// batch, can't read back.
BOOST_AUTO_TEST_CASE(CountedRunsAreReadBack)
{
  result_block block;
  block.mRuns = { { 3, { "s1", 77 }, run_fate::Open },
                  { 4, { "s2", 78 }, run_fate::Survived },
                  { 5, { "s3", 79 }, run_fate::Ended } };
  objects::stored_object stored;
  stored.mSpec = *json::Parse(EncodeBlock(block));
  const auto decoded = DecodeBlock(stored);
  BOOST_REQUIRE(decoded);
  BOOST_REQUIRE_EQUAL(decoded->mRuns.size(), block.mRuns.size());
  for (std::size_t i = 0; i < block.mRuns.size(); ++i) {
    BOOST_TEST(decoded->mRuns[i].mItem == block.mRuns[i].mItem);
    BOOST_TEST((decoded->mRuns[i].mServer == block.mRuns[i].mServer));
    BOOST_TEST((decoded->mRuns[i].mFate == block.mRuns[i].mFate));
  }
  batch_metadata ended;
  ended.mIsEnded = true;
  ended.mCountedRuns = { { "item", { "s1", 77 }, run_fate::Ended } };
  stored.mName = "b1";
  stored.mSpec = *json::Parse(EncodeMetadata(ended));
  stored.mStatus = *json::Parse(EncodeMetadataStatus(ended));
  const auto metadata = DecodeMetadata(stored);
  BOOST_REQUIRE(metadata);
  BOOST_REQUIRE_EQUAL(metadata->mCountedRuns.size(), 1u);
  BOOST_TEST(metadata->mCountedRuns.front().mItemId == "item");
  BOOST_TEST((metadata->mCountedRuns.front().mFate == run_fate::Ended));
}

// Guards against a count of errors that the next owner can't read back, and
// against blocks of a former version that can't be read without one.
BOOST_AUTO_TEST_CASE(CountedErrorsAreReadBack)
{
  result_block block;
  block.mWriter = "writer";
  block.mErrors = { { 3, 2, 4 }, { 7, 1, 2 } };
  const auto decoded = DecodeBlock(Stored("step-1.000000", EncodeBlock(block)));
  BOOST_REQUIRE(decoded);
  BOOST_TEST(decoded->mWriter == "writer");
  BOOST_REQUIRE_EQUAL(decoded->mErrors.size(), 2u);
  BOOST_TEST(decoded->mErrors[0].mItem == 3u);
  BOOST_TEST(decoded->mErrors[0].mKnown == 2);
  BOOST_TEST(decoded->mErrors[0].mPossible == 4);
  BOOST_TEST(decoded->mErrors[1].mItem == 7u);
  const auto former =
    DecodeBlock(Stored("step-1.000000", R"({"ids":[],"entries":[]})"));
  BOOST_REQUIRE(former);
  BOOST_TEST(former->mErrors.empty());
  BOOST_TEST(EncodeBlock({}) == R"({"ids":[],"entries":[]})");
}

BOOST_AUTO_TEST_SUITE_END()
