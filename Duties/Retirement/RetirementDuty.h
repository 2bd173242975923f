#pragma once

#include "Libraries/ObjectStore/ObjectStore.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

/** Handles an operator's request to retire an instance that has a disk. */
namespace lavender::retirement {

struct retirement_dependencies
{
  boost::asio::io_context& mLoop;
  const objects::object_store& mStore;
  /** Kind of the objects that request a retirement. */
  std::string mKind;
  /** Name of this instance, which is also the name of its retirement object. */
  std::string mName;
};

/** Polls for the object that requests this instance's retirement, and marks it
 * as completed. There is no data to move, because the instance keeps nothing
 * durable on its disk. */
class retirement_duty
{
public:
  explicit retirement_duty(retirement_dependencies aParts);

  void Start();

private:
  void ScheduleNextCheck();
  void Check();
  void Complete();

  retirement_dependencies mDependencies;
  boost::asio::steady_timer mTimer;
};

} // namespace lavender::retirement
