#pragma once

#include "Libraries/ObjectStore/ObjectStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

/** Answers an operator's wish to take an instance with a disk away. */
namespace lavender::retirement {

struct retirement_dependencies
{
  boost::asio::io_context& mLoop;
  const objects::object_store& mStore;
  /** Kind of the objects that ask for it. */
  std::string mKind;
  /** Name of this instance, which is the object's name. */
  std::string mName;
};

/** Looks for the object that asks this instance to be emptied, and reports it
 * empty: nothing that must last lies on its disk. */
class retirement_duty
{
public:
  explicit retirement_duty(retirement_dependencies aParts);

  void Start();

private:
  void LookAgain();
  void Look();
  void Complete();

  retirement_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
};

} // namespace lavender::retirement
