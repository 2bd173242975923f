#include "Bench/Experiments.h"
#include "Libraries/Core/Log.h"

#include <iostream>
#include <map>
#include <tclap/CmdLine.h>

using namespace lavender;
using namespace lavender::bench;

namespace {

using experiment = void (*)(const experiment_options&);

const std::map<std::string, experiment>&
Experiments()
{
  static const std::map<std::string, experiment> kExperiments = {
    { "throughput", RunThroughput },
    { "fairness", RunFairness },
    { "overload", RunOverload },
    { "routing", RunRouting },
    { "lag", RunLag },
    { "decision", RunDecision },
    { "slopes", RunSlopes },
    { "state-memory", RunStateMemory },
    { "leases", RunLeases },
    { "cost", RunCost },
    { "batch-order", RunBatchOrder },
  };
  return kExperiments;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  TCLAP::CmdLine line(
    "Runs one experiment and writes its results as CSV.", ' ', "0.1.0");
  std::vector<std::string> names;
  for (const auto& [name, run] : Experiments()) {
    names.push_back(name);
  }
  TCLAP::ValuesConstraint<std::string> constraint(names);
  TCLAP::UnlabeledValueArg<std::string> name(
    "experiment", "Experiment to run.", true, "", &constraint, line);
  TCLAP::ValueArg<std::string> folder("o",
                                      "out",
                                      "Folder for the CSV files; default .",
                                      false,
                                      ".",
                                      "FOLDER",
                                      line);
  TCLAP::ValueArg<unsigned> seed(
    "s", "seed", "Seed of the arrivals; default 1.", false, 1, "NUMBER", line);
  TCLAP::ValueArg<int> seconds("t",
                               "seconds",
                               "Length of each run; default 10.",
                               false,
                               10,
                               "SECONDS",
                               line);
  TCLAP::MultiArg<int> sizes("n",
                             "size",
                             "Agents for slopes; may be repeated; default 10, "
                             "40 and 160.",
                             false,
                             "AGENTS",
                             line);
  line.parse(aCount, aArguments);
  StartLog(log_level::Warning);
  experiment_options options;
  options.mFolder = folder.getValue();
  options.mSeed = seed.getValue();
  options.mDuration = std::chrono::seconds(seconds.getValue());
  if (!sizes.getValue().empty()) {
    options.mSizes = sizes.getValue();
  }
  try {
    Experiments().at(name.getValue())(options);
  } catch (const std::exception& error) {
    std::cerr << "lavender-bench: " << error.what() << std::endl;
    return 1;
  }
  return 0;
}
