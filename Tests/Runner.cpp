#define BOOST_TEST_MODULE lavenderstair
#include <boost/test/unit_test.hpp>
