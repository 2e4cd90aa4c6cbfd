// The end of a daemon: it hands its shards over, answers its callers, and
// exits.

#include <chrono>

#include "base/event_log.h"
#include "entry/job_daemon.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// Time to keep serving after a stop signal. The load balancer routes new
// connections here until two readiness checks, a second apart, have failed.
constexpr base::Micros kMinDrainTime = milliseconds(3000);
// The process exits this long before the platform would kill it.
constexpr base::Micros kExitBeforeKill = milliseconds(500);
constexpr base::Micros kDrainCheckPeriod = milliseconds(50);
// Time for open connections to close once no more callers can connect.
constexpr base::Micros kMaxLingerTime = milliseconds(1000);

}  // namespace

// Releases all shards, so that other daemons take over at once. Requests that
// the load balancer still routes here are served until the process exits.
void JobDaemon::Stop() {
  if (this->stop_requested > base::Micros::zero())
    return;
  this->stop_requested = base::MonotonicNow();
  base::Log(base::Event::kDaemonStopping, {});
  this->callers.BeginShutdown();
  if (this->ownerships)
    this->ownerships->Release();
  this->stop_timer.StartEvery(kDrainCheckPeriod);
}

void JobDaemon::ExitIfDrained() {
  const base::Micros elapsed = base::MonotonicNow() - this->stop_requested;
  const bool is_out_of_time =
      elapsed > this->settings.stop_grace_period - kExitBeforeKill;
  if (!is_out_of_time && elapsed <= kMinDrainTime)
    return;
  this->caller_server.StopListening();
  const bool is_drained = this->caller_server.connections() == 0 ||
                          (elapsed > kMinDrainTime + kMaxLingerTime &&
                           this->caller_server.open_exchanges() == 0);
  if (!is_drained && !is_out_of_time)
    return;
  this->callers.Shutdown();
  this->loop.Stop();
}

}  // namespace quartzhoist::entry
