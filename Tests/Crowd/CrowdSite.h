#pragma once

#include "Tests/Crowd/ProcessUse.h"
#include "Tests/Site/Support/Loop.h"
#include "Tests/Soak/Site.h"

namespace lavender::tests {

/** Limits of an entry that a crowd calls. */
struct crowd_limits
{
  std::size_t mMegabytes = 64;
  std::size_t mDescriptors = 2000;

  std::size_t Bytes() const { return mMegabytes << 20; }
};

/** Two entries and an agent before stand-ins of the servers and the store. Real
 * programs; the crowd calls the first entry. */
class crowd_site
{
public:
  explicit crowd_site(const crowd_limits& aLimits = {});
  ~crowd_site();

  /** Starts the programs, and waits until the entries serve requests. */
  bool Start();
  unsigned short Callers() const { return mSite.mEntries.front()->mCallers; }
  /** Ports of the entry that aren't for callers, by what they are for. */
  std::map<std::string, unsigned short> OtherDoors() const;
  process_use Use() const;
  /** Whether the entry lives and answers an ordinary request, which may have to
   * be sent again. */
  bool IsServing();
  /** Waits until the entry holds hardly more than before the crowd. */
  bool ComesToRest();

  const crowd_limits mLimits;
  test_loop mLoop;
  soak::soak_site mSite;

private:
  unsigned SendRequest(const soak::entry_instance& aEntry);
  /** Runs the loop until the condition holds; false when it doesn't come. */
  bool WaitUntil(const std::function<bool()>& aCondition);

  std::shared_ptr<edge::client_pool> mClients;
  process_use mAtRest;
  int mNext = 0;
};

} // namespace lavender::tests
