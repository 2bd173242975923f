#include "Duties/Site/ServerFate.h"

#include <boost/test/unit_test.hpp>

using namespace lavender;
using namespace lavender::site;

namespace {

const server_start kStart{ "s1", 100 };

server_directory
DirectoryWith(const server_start& aStart)
{
  server_directory directory;
  auto& server = directory.mRows[aStart.mId].mServer;
  server.mId = aStart.mId;
  server.mStartedAt = aStart.mStartedAt;
  return directory;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TestServerFate)

// Guards against a sound item that is given up on a day of resets: the server
// whose connection broke answers as the same start.
BOOST_AUTO_TEST_CASE(AServerThatAnswersAsBeforeHasNotEnded)
{
  BOOST_TEST((FateByReply(kStart, server_identity{ false, "s1", 100 }) ==
              server_fate::Running));
  BOOST_TEST((FateByReply(kStart, server_identity{ false, "s1", 0 }) ==
              server_fate::Running));
  BOOST_TEST((FateByReply(kStart, server_identity{ false, "", 100 }) ==
              server_fate::Running));
}

// Guards against runs that count for ever because a server tells neither its id
// nor its start: it was asked for by its id, and doesn't say that it is
// another.
BOOST_AUTO_TEST_CASE(AServerThatTellsNothingOfItselfLives)
{
  BOOST_TEST((FateByReply(kStart, server_identity{}) == server_fate::Running));
  BOOST_TEST((FateByReply(kStart, server_identity{ true, "", 0 }) ==
              server_fate::Ended));
}

// Guards against an end that is missed because the server is back at once, with
// its old id or another one.
BOOST_AUTO_TEST_CASE(AServerThatStartedAgainHasEnded)
{
  BOOST_TEST((FateByReply(kStart, server_identity{ false, "s1", 101 }) ==
              server_fate::Ended));
  BOOST_TEST((FateByReply(kStart, server_identity{ false, "s2", 100 }) ==
              server_fate::Ended));
  BOOST_TEST((FateByReply(kStart, server_identity{ false, "", 101 }) ==
              server_fate::Ended));
  BOOST_TEST((FateByDirectory(kStart, DirectoryWith({ "s1", 101 })) ==
              server_fate::Ended));
}

// Guards against an end that is concluded from silence, which a cut path causes
// too, and against a dead server that counts as alive by its old record.
BOOST_AUTO_TEST_CASE(SilenceAndAnOldRecordShowNothing)
{
  BOOST_TEST((FateByReply(kStart, std::nullopt) == server_fate::Unknown));
  BOOST_TEST(
    (FateByDirectory(kStart, DirectoryWith(kStart)) == server_fate::Unknown));
  BOOST_TEST((FateByDirectory(kStart, {}) == server_fate::Unknown));
}

// Guards against ends of servers that live, counted by an entry whose directory
// is behind: it still holds the record of the start before.
BOOST_AUTO_TEST_CASE(ARecordOfAnEarlierStartShowsNothing)
{
  BOOST_TEST((FateByDirectory(kStart, DirectoryWith({ "s1", 99 })) ==
              server_fate::Unknown));
}

// Guards against a silent server whose runs stay open for ever.
BOOST_AUTO_TEST_CASE(AServerWithoutARecordHasEnded)
{
  BOOST_TEST((FateByDirectory(kStart, DirectoryWith({ "s2", 100 })) ==
              server_fate::Ended));
}

// Guards against checks that crowd a server or its network when it is silent.
BOOST_AUTO_TEST_CASE(ChecksBecomeRarer)
{
  BOOST_TEST((CheckDelay(1) < CheckDelay(2)));
  BOOST_TEST((CheckDelay(50) == CheckDelay(4)));
}

BOOST_AUTO_TEST_SUITE_END()
