#include "Libraries/Core/Mechanisms.h"

#include <map>
#include <sstream>

namespace lavender {

namespace {

const std::map<std::string, mechanism>&
MechanismNames()
{
  static const std::map<std::string, mechanism> names = {
    { "group-homes", mechanism::GroupHomes },
    { "longest-first", mechanism::LongestFirst },
    { "slow-server-moves", mechanism::SlowServerMoves },
    { "run-breakers", mechanism::RunBreakers },
    { "trial-of-one-run", mechanism::TrialOfOneRun },
    { "designated-owners", mechanism::DesignatedOwners },
    { "stored-texts", mechanism::StoredTexts },
    { "listing-pace", mechanism::ListingPace },
    { "hedged-rewards", mechanism::HedgedRewards },
    { "reward-order", mechanism::RewardOrder },
    { "reward-limit", mechanism::RewardLimit },
    { "version-spread", mechanism::VersionSpread },
    { "other-load", mechanism::OtherLoad },
    { "group-order", mechanism::GroupOrder },
    { "server-speeds", mechanism::ServerSpeeds },
    { "memory-fit", mechanism::MemoryFit },
  };
  return names;
}

std::set<mechanism>&
DisabledMechanisms()
{
  static std::set<mechanism> off;
  return off;
}

} // namespace

bool
IsOn(mechanism aMechanism)
{
  return DisabledMechanisms().count(aMechanism) == 0;
}

std::set<mechanism>
ReadMechanisms(const std::string& aNames,
               const std::string& aSetting,
               findings& aFindings)
{
  std::set<mechanism> parsed;
  std::istringstream input(aNames);
  for (std::string name; std::getline(input, name, ',');) {
    if (const auto known = MechanismNames().find(name);
        known != MechanismNames().end()) {
      parsed.insert(known->second);
    } else {
      aFindings.Add(aSetting, "unknown mechanism: " + name);
    }
  }
  return parsed;
}

void
SwitchOff(std::set<mechanism> aMechanisms)
{
  DisabledMechanisms() = std::move(aMechanisms);
}

} // namespace lavender
