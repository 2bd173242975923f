#include "Duties/Batches/MadeText.h"

#include <boost/test/unit_test.hpp>

using namespace lavender::batches;

namespace {

/** Events from one number to another, as a run of that owner makes them. */
void
Make(generated_text& aMade, int aFrom, int aTo, const std::string& aOwner)
{
  for (int i = aFrom; i <= aTo; ++i) {
    AddEvent(aMade, i, aOwner + std::to_string(i), 1);
  }
}

/** Stores what isn't stored yet. */
void
Save(stored_texts& aStored,
     save_mark& aMark,
     const generated_text& aMade,
     const std::string& aWriter)
{
  if (const auto part = UnsavedPart(aMade, aMark)) {
    TakePart(aStored, aWriter, *part);
    MarkSaved(aMark, aMade, *part);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestMadeText)

BOOST_AUTO_TEST_CASE(PartsMakeTheWholeText)
{
  generated_text made;
  save_mark mark;
  stored_texts stored;
  Save(stored, mark, made, "a");
  BOOST_TEST(stored.empty());
  for (const auto& [from, to] : { std::pair{ 1, 1 }, { 2, 5 }, { 6, 9 } }) {
    Make(made, from, to, "x");
    Save(stored, mark, made, "a");
    BOOST_TEST(!UnsavedPart(made, mark));
    BOOST_TEST(stored.at(0).mMade.mData == made.mData);
    BOOST_TEST(*stored.at(0).mMade.mLastEvent == to);
  }
  made.mIsWhole = true;
  Save(stored, mark, made, "a");
  BOOST_TEST(stored.at(0).mMade.mIsWhole);
  BOOST_TEST(stored.at(0).mMade.mData == made.mData);
}

BOOST_AUTO_TEST_CASE(EmptyEventsCount)
{
  generated_text made;
  save_mark mark;
  stored_texts stored;
  AddEvent(made, 1, "", 1);
  Save(stored, mark, made, "a");
  AddEvent(made, 2, "", 2);
  AddEvent(made, 3, "end", 2);
  Save(stored, mark, made, "a");
  BOOST_TEST(stored.at(0).mMade.mData == "\n\nend");
  BOOST_TEST(stored.at(0).mMade.mVersions.size() == 2u);
}

// A sample holds half of one run's words and half of another's: two entries
// both believed to own its batch, and a third one, which took over, joined the
// parts that they had stored in turn.
BOOST_AUTO_TEST_CASE(PartsOfTwoOwnersAreNeverJoined)
{
  generated_text first;
  generated_text second;
  save_mark firstMark;
  save_mark secondMark;
  stored_texts stored;
  Make(first, 1, 5, "a");
  Save(stored, firstMark, first, "a");
  Make(second, 1, 3, "b");
  Save(stored, secondMark, second, "b");
  BOOST_TEST(stored.at(0).mMade.mData == first.mData);
  Make(first, 6, 8, "a");
  Save(stored, firstMark, first, "a");
  Make(second, 4, 5, "b");
  Save(stored, secondMark, second, "b");
  BOOST_TEST(stored.at(0).mMade.mData == first.mData);
  // The second goes on alone, from what it loads.
  auto loaded = stored.at(0).mMade;
  save_mark loadedMark;
  Make(loaded, 9, 9, "b");
  Save(stored, loadedMark, loaded, "b2");
  BOOST_TEST(stored.at(0).mMade.mData == loaded.mData);
}

// A sample's beginning is that of a text which was thrown away: it had been
// stored, and the part that follows in the new text was added to it.
BOOST_AUTO_TEST_CASE(ATextThatBeginsAnewReplacesTheOldOne)
{
  generated_text made;
  save_mark mark;
  stored_texts stored;
  Make(made, 1, 5, "old");
  const auto onItsWay = UnsavedPart(made, mark);
  TakePart(stored, "a", *onItsWay);
  Restart(made);
  mark = {};
  Make(made, 1, 2, "new");
  // The answer to the write comes after the text began anew.
  MarkSaved(mark, made, *onItsWay);
  Save(stored, mark, made, "a");
  BOOST_TEST(stored.at(0).mMade.mData == made.mData);
}

BOOST_AUTO_TEST_SUITE_END()
