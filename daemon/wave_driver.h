// Carries out the plans of the pools that this daemon answers for. Any number
// of daemons may do so at once: the platform lets one of them write.

#ifndef DAEMON_WAVE_DRIVER_H_
#define DAEMON_WAVE_DRIVER_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/counters.h"
#include "daemon/follower.h"
#include "platform/client.h"
#include "waves/planner.h"

namespace quartzhoist::daemon {

class WaveDriver {
 public:
  WaveDriver(platform::Client& platform,
             Follower& follower,
             base::Counters& counters,
             std::string writer_prefix);

  // Plans the pools for which `answers` says yes, and writes the steps.
  void Drive(const waves::Facts& facts,
             const std::function<bool(const std::string& pool)>& answers);

  // Writes one operator's step; `done` gets the outcome.
  void Write(const waves::PoolPlan& plan,
             std::function<void(const platform::CommitOutcome&)> done);

  // Did the last plans hold steps, or boxes that wait to go?
  bool busy() const { return this->is_busy; }
  // The last plan of each pool that this daemon answers for.
  const std::map<std::string, waves::PoolPlan>& plans() const {
    return this->last_plans;
  }

 private:
  void NoteHold(const waves::PoolPlan& plan);

  platform::Client& platform;
  Follower& follower;
  base::Counters& counters;
  std::string writer_prefix;
  std::uint64_t last_writer = 0;
  bool is_busy = true;
  std::set<std::string> writing;  // pools with a write on its way
  std::map<std::string, waves::PoolPlan> last_plans;
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_WAVE_DRIVER_H_
