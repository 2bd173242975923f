#define BOOST_TEST_MODULE lavenderstair
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <cstdlib>

namespace {

/** Generated test data come from a fixed seed so that every run gives the same
 * result. A longer run sets RC_PARAMS in the environment, for example
 * RC_PARAMS="seed=7 max_success=1000000". */
struct test_process
{
  test_process()
  {
    // As in the programs: writing to a connection that the peer has closed must
    // not end the process.
    std::signal(SIGPIPE, SIG_IGN);
    setenv("RC_PARAMS", "seed=20261203 max_success=10000", 0);
  }
};

} // namespace

BOOST_TEST_GLOBAL_FIXTURE(test_process);
