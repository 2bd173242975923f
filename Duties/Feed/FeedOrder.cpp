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
  std::size_t place = 0;
  while (place < aAll.size() && aAll[place].mName < aName) {
    ++place;
  }
  return place;
}

std::vector<feed_candidate>
SourcePreference(const std::vector<feed_candidate>& aAll,
                 const std::string& aName)
{
  const auto own = RankOf(aAll, aName);
  std::vector<feed_candidate> order;
  std::vector<bool> isTaken(own, false);
  for (auto place = own; place > 0;) {
    place = (place - 1) / kFollowersPerEntry;
    order.push_back(aAll[place]);
    isTaken[place] = true;
  }
  for (std::size_t place = 0; place < own; ++place) {
    if (!isTaken[place]) {
      order.push_back(aAll[place]);
    }
  }
  return order;
}

} // namespace lavender::feed
