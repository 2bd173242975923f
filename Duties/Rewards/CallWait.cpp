#include "Duties/Rewards/CallWait.h"

namespace lavender::rewards {

call_wait
WaitFor(server_use aUse)
{
  switch (aUse) {
    case server_use::Allowed:
      break;
    case server_use::Counted:
      return call_wait::NoOtherServer;
    case server_use::NotListed:
      return call_wait::NotListed;
    case server_use::Silent:
      return call_wait::ServerSilent;
  }
  return call_wait::NoRoom;
}

} // namespace lavender::rewards
