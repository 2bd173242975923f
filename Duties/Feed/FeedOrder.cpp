#include "Duties/Feed/FeedOrder.h"

namespace lavender::feed {

namespace {

/** Entries that ask one other: a question each half second from so many takes
 * one or two percent of the smallest instance's processor. 360 entries are
 * three steps deep. */
constexpr std::size_t kFollowersOfOne = 16;

} // namespace

std::size_t
PlaceOf(const std::vector<feed_candidate>& aAll, const std::string& aName)
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
  const auto own = PlaceOf(aAll, aName);
  std::vector<feed_candidate> order;
  std::vector<bool> isTaken(own, false);
  for (auto place = own; place > 0;) {
    place = (place - 1) / kFollowersOfOne;
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
