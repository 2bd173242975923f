#pragma once

#include "Libraries/Core/Findings.h"

#include <set>
#include <string>

/** Mechanisms that an experiment may switch off to measure the effect of each.
 * Switched once at the start, before the event loop runs; never in
 * production. */
namespace lavender {

enum class mechanism
{
  /** Runs of a group's items go to the server that has their prompt cached. */
  GroupHomes,
  /** Items whose runs are expected to be long start first. */
  LongestFirst,
  /** Runs move to servers that are clearly faster. */
  SlowServerMoves,
  /** A circuit breaker limits the runs sent to a server that fails many. */
  RunBreakers,
  /** A server that rejected a run is probed with a single run first. */
  TrialOfOneRun,
  /** One designated entry runs all batches of a model. */
  DesignatedOwners,
  /** The partial texts of long runs are stored. */
  StoredTexts,
  /** The delay in which results are collected for a listing depends on who
   * waits for them. */
  ListingPace,
  /** A slow reward call is sent a second time. */
  HedgedRewards,
  /** The reward call that completes a group is sent first. */
  RewardOrder,
  /** Reward calls are limited so that slots remain for other calls. */
  RewardLimit,
  /** Each version is loaded by half of the model's servers. */
  VersionSpread,
  /** Runs of other entries on a server count as its load. */
  OtherLoad,
  /** Groups that can be finished in time run before the others. */
  GroupOrder,
  /** The measured speeds of servers decide which runs they get. */
  ServerSpeeds,
  /** Runs that together would outgrow a server's memory are kept apart. */
  MemoryFit
};

/** False once an experiment has switched it off. */
bool
IsOn(mechanism aMechanism);

/** Parses comma-separated names, as a setting has them. Adds a finding for each
 * unknown name. */
std::set<mechanism>
ReadMechanisms(const std::string& aNames,
               const std::string& aSetting,
               findings& aFindings);

/** Switches the given mechanisms off and all others on. */
void
SwitchOff(std::set<mechanism> aMechanisms);

} // namespace lavender
