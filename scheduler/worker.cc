#include "scheduler/worker.h"

#include <algorithm>
#include <utility>

namespace quartzhoist::scheduler {

namespace {

// How much earlier than the last reading an answer's clock may be, since
// answers can arrive out of order.
constexpr base::Micros kReorderTolerance = std::chrono::milliseconds(100);

void ReleaseQuota(const Run& run) {
  if (run.organisation_usage)
    *run.organisation_usage = *run.organisation_usage - run.quota_usage;
}

bool IsProbeRun(const Run& run) {
  return run.suspicion >= Suspicion::kProbe;
}

}  // namespace

void ClearSuspicion(Worker& worker, Run& run) {
  worker.suspect_runs -= run.suspicion != Suspicion::kNone;
  worker.probe_runs -= IsProbeRun(run);
  run.suspicion = Suspicion::kNone;
}

void RecordContact(Worker& worker, base::Micros now) {
  worker.failed_calls = 0;
  worker.last_contact_at = now;
}

void RecordFailedCall(Worker& worker, base::Micros sent_at) {
  if (worker.failed_calls == 0)
    worker.unanswered_since = sent_at;
  ++worker.failed_calls;
}

Run& AddRun(Worker& worker, const jobs::TaskId& task, Run run) {
  RemoveRun(worker, task);
  worker.used = worker.used + run.reserved;
  worker.long_running_tasks += run.is_long_running;
  worker.unknown_runs += run.has_unknown_resources;
  worker.suspect_runs += run.suspicion != Suspicion::kNone;
  worker.probe_runs += IsProbeRun(run);
  if (run.organisation_usage)
    *run.organisation_usage = *run.organisation_usage + run.quota_usage;
  return worker.runs[task] = std::move(run);
}

void RemoveRun(Worker& worker, const jobs::TaskId& task) {
  const auto found = worker.runs.find(task);
  if (found == worker.runs.end())
    return;
  worker.used = worker.used - found->second.reserved;
  worker.long_running_tasks -= found->second.is_long_running;
  worker.unknown_runs -= found->second.has_unknown_resources;
  ClearSuspicion(worker, found->second);
  ReleaseQuota(found->second);
  worker.runs.erase(found);
  ++worker.removed_runs;
}

std::map<jobs::TaskId, Run> ExtractRuns(Worker& worker) {
  for (const auto& [task, run] : worker.runs)
    ReleaseQuota(run);
  worker.used = {};
  worker.long_running_tasks = 0;
  worker.unknown_runs = 0;
  worker.suspect_runs = 0;
  worker.probe_runs = 0;
  worker.removed_runs += worker.runs.size();
  return std::exchange(worker.runs, {});
}

// From its first report on, a worker refuses the stops of earlier owners.
bool MayHideRuns(const Worker& worker,
                 base::Micros max_stop_time,
                 base::Micros now) {
  return worker.first_complete_report_at == base::Micros::zero() ||
         now <= worker.first_complete_report_at + max_stop_time;
}

bool IsVacated(const Worker& worker, base::Micros now) {
  return !worker.is_announced && worker.idle() && !worker.poll_in_flight &&
         (worker.first_complete_report_at > base::Micros::zero() ||
          now > worker.latest_lease_end);
}

bool CanAcknowledgeEnds(const Worker& worker) {
  const bool all_confirmed = std::all_of(
      worker.runs.begin(), worker.runs.end(), [](const auto& entry) {
        const Run& run = entry.second;
        return run.is_confirmed || run.state == RunState::kPlanned ||
               run.state == RunState::kInherited;
      });
  return worker.has_reported && worker.failed_calls == 0 &&
         !worker.may_have_restarted && all_confirmed;
}

bool IsClockConsistent(const Worker& worker,
                       std::int64_t clock_ms,
                       base::Micros decided_at) {
  const base::Micros since =
      std::max(decided_at - worker.clock_read_at, base::Micros::zero());
  const double least = static_cast<double>(worker.clock_ms) +
                       base::Seconds(since) * 1000.0 * kMinClockRate -
                       static_cast<double>(base::Millis(kReorderTolerance));
  return worker.clock_ms > 0 && static_cast<double>(clock_ms) >= least;
}

// A store that was unavailable returns announcements from before its outage, so
// the time of their arrival does not tell their age.
base::Micros AnnouncementAge(const Worker& worker, base::Micros now) {
  if (worker.info.announced_clock_ms == 0 || worker.clock_ms == 0)
    return now - worker.announcement_received_at;
  return now + worker.max_clock_lead -
         std::chrono::milliseconds(worker.info.announced_clock_ms);
}

// The answer may have been read long after the worker sent it, but it was sent
// after the request. The clock may run slow, so its lead never grows.
void BoundClockLead(Worker& worker,
                    std::int64_t clock_ms,
                    base::Micros requested_at) {
  if (clock_ms <= 0)
    return;
  worker.max_clock_lead = std::min(
      worker.max_clock_lead,
      base::Micros(std::chrono::milliseconds(clock_ms)) - requested_at);
}

bool MayBeLaterIncarnationsClock(const Worker& worker,
                                 std::int64_t clock_ms,
                                 base::Micros now) {
  const double since_ms =
      base::Seconds(now - worker.report_requested_at) * 1000.0;
  return static_cast<double>(clock_ms) * kMinClockRate <= since_ms;
}

bool MixesServingAndFillingRuns(const Worker& worker) {
  bool serves = false;
  bool fills = false;
  for (const auto& [task, run] : worker.runs) {
    serves = serves || run.target_ms > 0;
    fills = fills || run.fills;
  }
  return serves && fills;
}

std::int64_t DeadlineFor(const Worker& worker, base::Micros end) {
  if (worker.clock_read_at == base::Micros::zero() ||
      end <= worker.clock_read_at)
    return 0;
  const double span_ms = base::Seconds(end - worker.clock_read_at) * 1000.0;
  return worker.clock_ms + static_cast<std::int64_t>(span_ms * kMinClockRate);
}

}  // namespace quartzhoist::scheduler
