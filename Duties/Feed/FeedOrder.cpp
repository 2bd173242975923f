#include "Duties/Feed/FeedOrder.h"

namespace lavender::feed {

namespace {

/** Children of each entry in the tree. Requests each half second from so many
 * take one or two percent of the smallest instance's processor, and a tree of
 * 360 entries is three levels deep. */
constexpr std::size_t kFollowersPerEntry = 16;

} // namespace

std::size_t
RankOf(const std::vector<feed_candidate>& aAll, const std::string& aName)
{
  std::size_t rank = 0;
  while (rank < aAll.size() && aAll[rank].mName != aName) {
    ++rank;
  }
  return rank;
}

std::vector<feed_candidate>
SourcePreference(const std::vector<feed_candidate>& aAll,
                 const std::string& aName)
{
  const auto own = RankOf(aAll, aName);
  std::vector<feed_candidate> order;
  std::vector<bool> isTaken(own, false);
  for (auto rank = own; rank > 0;) {
    rank = (rank - 1) / kFollowersPerEntry;
    order.push_back(aAll[rank]);
    isTaken[rank] = true;
  }
  for (std::size_t rank = 0; rank < own; ++rank) {
    if (!isTaken[rank]) {
      order.push_back(aAll[rank]);
    }
  }
  return order;
}

} // namespace lavender::feed
