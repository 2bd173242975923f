#pragma once

#include "Libraries/Core/Findings.h"

#include <set>
#include <string>

/** Mechanisms that an experiment may switch off, to learn what each is worth.
 * Set once at the start, before the loop runs; never in production. */
namespace lavender {

enum class mechanism
{
  /** Items of a group go to the server that has their prompt. */
  GroupHomes,
  /** Items that are expected to be long start first. */
  LongestFirst,
  /** Runs leave servers that make events much more slowly. */
  SlowServerMoves,
  /** Servers that fail many runs get few. */
  RunBreakers,
  /** A server that turned a run away is tried with one. */
  TrialOfOneRun,
  /** A model's batches run at one entry. */
  DesignatedOwners,
  /** Texts of long runs are stored. */
  StoredTexts,
  /** Results gather by who waits for them. */
  ListingPace,
  /** A second copy of a slow reward call. */
  HedgedRewards,
  /** The reward call that ends a group goes first. */
  RewardOrder,
  /** Reward calls leave places for others. */
  RewardLimit,
  /** Half of a model's servers load each version. */
  VersionSpread
};

/** False once an experiment has switched it off. */
bool
IsOn(mechanism aMechanism);

/** Reads names with commas between, as the settings have them; an unknown one
 * is a finding. */
std::set<mechanism>
ReadMechanisms(const std::string& aNames,
               const std::string& aSetting,
               findings& aFindings);

/** Switches these off and all others on. */
void
SwitchOff(std::set<mechanism> aMechanisms);

} // namespace lavender
