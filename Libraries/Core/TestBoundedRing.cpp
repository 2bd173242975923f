#include "Libraries/Core/BoundedRing.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lavender;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(TestBoundedRing)

BOOST_AUTO_TEST_CASE(RefusesWhenFullAndKeepsTheItem)
{
  bounded_ring<std::string> ring(1);
  std::string first = "first";
  std::string second = "second";
  BOOST_TEST(ring.TryPush(first));
  BOOST_TEST(!ring.TryPush(second));
  BOOST_TEST(second == "second");
  BOOST_TEST(ring.Pop(0ms).value() == "first");
  BOOST_TEST(ring.TryPush(second));
}

BOOST_AUTO_TEST_CASE(PopsRemainingItemsAfterClose)
{
  bounded_ring<int> ring(4);
  int item = 7;
  BOOST_TEST(ring.TryPush(item));
  ring.Close();
  BOOST_TEST(!ring.TryPush(item));
  BOOST_TEST(ring.Pop(1s).value() == 7);
  BOOST_TEST(!ring.Pop(1s).has_value());
}

BOOST_AUTO_TEST_CASE(CarriesAllItemsBetweenTwoThreads)
{
  bounded_ring<int> ring(8);
  std::thread producer([&] {
    for (int i = 0; i < 10000;) {
      int item = i;
      if (ring.TryPush(item)) {
        ++i;
      } else {
        std::this_thread::yield();
      }
    }
    ring.Close();
  });
  int expected = 0;
  while (auto item = ring.Pop(5s)) {
    BOOST_REQUIRE(*item == expected++);
  }
  producer.join();
  BOOST_TEST(expected == 10000);
}

BOOST_AUTO_TEST_SUITE_END()
