#include "Duties/Scheduling/StepOrder.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <optional>
#include <set>

namespace lavender::scheduling {

namespace {

using seconds = std::chrono::duration<double>;

/** Part of the room in which groups of a tight step share a rank. */
constexpr double kSharedRoom = 0.875;
/** A group that wasn't in time must fit as if it needed this much more. */
constexpr double kReturnMargin = 1.125;

struct group_place
{
  std::size_t mStep = 0;
  std::size_t mGroup = 0;
  seconds mWork{ 0 };
};

bool
HasLessWork(const group_place& aLeft, const group_place& aRight)
{
  return aLeft.mWork < aRight.mWork;
}

double
MarginOf(const open_group& aGroup)
{
  const bool isReturn = aGroup.mLastStanding != group_standing::Complete &&
                        aGroup.mLastStanding != group_standing::InTime;
  return isReturn ? kReturnMargin : 1;
}

std::vector<std::size_t>
StepsByDueTime(const std::vector<open_step>& aSteps)
{
  std::vector<std::size_t> order(aSteps.size());
  std::iota(order.begin(), order.end(), std::size_t(0));
  std::stable_sort(order.begin(), order.end(), [&](auto aLeft, auto aRight) {
    return aSteps[aLeft].mTimeLeft < aSteps[aRight].mTimeLeft;
  });
  return order;
}

/** Open groups of a step, least work first. */
std::vector<group_place>
OpenGroups(const std::vector<open_step>& aSteps, std::size_t aStep)
{
  std::vector<group_place> groups;
  for (std::size_t i = 0; i < aSteps[aStep].mGroups.size(); ++i) {
    const auto& group = aSteps[aStep].mGroups[i];
    if (group.mOpenItems > 0) {
      groups.push_back({ aStep, i, group.mWork * MarginOf(group) });
    }
  }
  std::stable_sort(groups.begin(), groups.end(), HasLessWork);
  return groups;
}

/** Open groups of a step in the order in which they are chosen for the number
 * that the trainer waits for. Where there is room for all, that is the order of
 * submission: a trainer submits its most important groups first. */
std::vector<group_place>
GroupsToChoose(const std::vector<open_step>& aSteps,
               std::size_t aStep,
               int aPlaces)
{
  auto groups = OpenGroups(aSteps, aStep);
  const auto work = std::accumulate(
    groups.begin(),
    groups.end(),
    seconds(0),
    [](seconds aSum, const auto& aGroup) { return aSum + aGroup.mWork; });
  if (work <= aSteps[aStep].mTimeLeft * aPlaces * kSharedRoom) {
    std::sort(
      groups.begin(), groups.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.mGroup < aRight.mGroup;
      });
  }
  return groups;
}

/** Sets the standing of a step's groups by its own due time and target only.
 * @return the groups that are in time by that, least work first */
std::vector<group_place>
WantedGroups(const std::vector<open_step>& aSteps,
             std::size_t aStep,
             int aPlaces,
             step_ranks& aRanks)
{
  const auto& step = aSteps[aStep];
  std::vector<group_place> wanted;
  for (const auto& place : GroupsToChoose(aSteps, aStep, aPlaces)) {
    const auto& group = step.mGroups[place.mGroup];
    auto& standing = aRanks[aStep][place.mGroup].mStanding;
    if (step.mTimeLeft <= seconds(0) ||
        group.mLongest * MarginOf(group) > step.mTimeLeft) {
      standing = group_standing::Late;
    } else if (wanted.size() >= step.mTargetGroups) {
      standing = group_standing::Surplus;
    } else {
      standing = group_standing::InTime;
      wanted.push_back(place);
    }
  }
  std::stable_sort(wanted.begin(), wanted.end(), HasLessWork);
  return wanted;
}

/** Number of groups of the step due first that aren't deferred. */
std::size_t
ProtectedGroups(const std::vector<group_place>& aWanted, seconds aRoom)
{
  if (aWanted.empty() || aWanted.front().mWork > aRoom) {
    return 0;
  }
  std::size_t count = 0;
  seconds work{ 0 };
  for (const auto& group : aWanted) {
    work += group.mWork;
    if (count > 0 && work > aRoom * kProtectedShare) {
      break;
    }
    ++count;
  }
  return count;
}

/** Sets the standing of all groups. Goes through the steps by due time and, as
 * soon as the work exceeds the room, defers the group with the most work, which
 * leaves the largest number of groups in time (Moore-Hodgson). */
void
SetStandings(const std::vector<open_step>& aSteps,
             int aPlaces,
             seconds aWorkBefore,
             step_ranks& aRanks)
{
  // Of groups with equal work, the last one is the newest.
  std::multiset<group_place, decltype(&HasLessWork)> deferrable(&HasLessWork);
  seconds work = aWorkBefore;
  bool hasFirstStep = false;
  for (const auto step : StepsByDueTime(aSteps)) {
    const auto wanted = WantedGroups(aSteps, step, aPlaces, aRanks);
    const auto room = aSteps[step].mTimeLeft * aPlaces;
    const auto kept = hasFirstStep ? 0 : ProtectedGroups(wanted, room);
    hasFirstStep = hasFirstStep || !wanted.empty();
    for (std::size_t i = 0; i < wanted.size(); ++i) {
      work += wanted[i].mWork;
      if (i >= kept) {
        deferrable.insert(wanted[i]);
      }
      while (work > room && !deferrable.empty()) {
        const auto largest = std::prev(deferrable.end());
        aRanks[largest->mStep][largest->mGroup].mStanding =
          group_standing::NoRoom;
        work -= largest->mWork;
        deferrable.erase(largest);
      }
    }
  }
}

/** The group that is furthest on of the step that waits longest beyond its due
 * time. */
std::optional<group_place>
PatientGroup(const std::vector<open_step>& aSteps)
{
  for (const auto step : StepsByDueTime(aSteps)) {
    if (aSteps[step].mTimeLeft > -kPatientAfter) {
      return std::nullopt;
    }
    const auto groups = OpenGroups(aSteps, step);
    if (aSteps[step].mTargetGroups > 0 && !groups.empty()) {
      return groups.front();
    }
  }
  return std::nullopt;
}

std::vector<group_place>
GroupsOfStanding(const std::vector<open_step>& aSteps,
                 std::size_t aStep,
                 const step_ranks& aRanks,
                 group_standing aStanding)
{
  auto groups = OpenGroups(aSteps, aStep);
  groups.erase(std::remove_if(groups.begin(),
                              groups.end(),
                              [&](const auto& aGroup) {
                                return aRanks[aStep][aGroup.mGroup].mStanding !=
                                       aStanding;
                              }),
               groups.end());
  return groups;
}

/** Number of groups, at least one, that are in time if items start in any
 * order: the last one starts when the work before it is done by all places. */
std::size_t
SafeGroups(const open_step& aStep,
           const std::vector<group_place>& aGroups,
           int aPlaces,
           seconds aWorkBefore)
{
  seconds work = aWorkBefore;
  seconds longest{ 0 };
  std::size_t count = 0;
  for (const auto& group : aGroups) {
    work += group.mWork;
    longest = std::max(longest, aStep.mGroups[group.mGroup].mLongest);
    if (count > 0 && work / aPlaces + longest > aStep.mTimeLeft) {
      break;
    }
    ++count;
  }
  return count;
}

/** @param aWork work that runs before; increased by the step's
 * @param aNext the next free rank
 * @return the next free rank after it */
std::size_t
RankGroupsInTime(const std::vector<open_step>& aSteps,
                 std::size_t aStep,
                 int aPlaces,
                 seconds& aWork,
                 std::size_t aNext,
                 step_ranks& aRanks)
{
  const auto& step = aSteps[aStep];
  const auto groups =
    GroupsOfStanding(aSteps, aStep, aRanks, group_standing::InTime);
  const bool isWhole =
    GroupsOfStanding(aSteps, aStep, aRanks, group_standing::NoRoom).empty();
  const auto safe = SafeGroups(step, groups, aPlaces, aWork);
  const auto sharedRoom = step.mTimeLeft * aPlaces * kSharedRoom;
  for (std::size_t i = 0; i < groups.size(); ++i) {
    aWork += groups[i].mWork;
    const bool sharesRank =
      i > 0 && (i < safe || (isWhole && aWork <= sharedRoom));
    aNext += sharesRank ? 0 : 1;
    aRanks[aStep][groups[i].mGroup].mRank = aNext - 1;
  }
  return aNext;
}

} // namespace

step_ranks
RankSteps(const std::vector<open_step>& aSteps, int aPlaces)
{
  step_ranks ranks;
  for (const auto& step : aSteps) {
    ranks.emplace_back(step.mGroups.size());
  }
  const auto patient = PatientGroup(aSteps);
  const seconds before = patient ? patient->mWork : seconds(0);
  SetStandings(aSteps, aPlaces, before, ranks);

  std::size_t next = patient ? 1 : 0;
  seconds work = before;
  const auto order = StepsByDueTime(aSteps);
  for (const auto step : order) {
    next = RankGroupsInTime(aSteps, step, aPlaces, work, next, ranks);
  }
  // The first rank is for groups that some trainer waits for.
  const bool isAnyWanted =
    std::any_of(aSteps.begin(), aSteps.end(), [](const auto& aStep) {
      return aStep.mTargetGroups > 0;
    });
  next = std::max<std::size_t>(next, isAnyWanted ? 0 : 1);
  for (const auto standing : { group_standing::NoRoom,
                               group_standing::Surplus,
                               group_standing::Late }) {
    std::vector<group_place> groups;
    for (const auto step : order) {
      const auto more = GroupsOfStanding(aSteps, step, ranks, standing);
      groups.insert(groups.end(), more.begin(), more.end());
    }
    std::stable_sort(groups.begin(), groups.end(), HasLessWork);
    for (const auto& group : groups) {
      ranks[group.mStep][group.mGroup].mRank = next++;
    }
  }
  if (patient) {
    ranks[patient->mStep][patient->mGroup].mRank = 0;
  }
  return ranks;
}

} // namespace lavender::scheduling
