// Maintenance waves: selects the boxes that go into maintenance next and tracks
// the progress of each wave.

#include <algorithm>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

namespace {

// One in this many of a wave's slots is reserved from the start for boxes with
// long-running tasks, which are evacuated a few tasks at a time and take the
// longest. In large fleets this reduced the boxes left at their waves'
// deadlines from 20 to 9.
constexpr int kPinnedDivisor = 8;

// Assumed bound on how far a box list may lag behind the time of its request.
// The platform documents none.
constexpr base::Micros kMaxListAge = std::chrono::seconds(4);

// A box whose long-running tasks fit nowhere else counts as stalled after this
// time. Longer than a planning round (0.25 s) plus the end of a stopped run.
constexpr base::Micros kStallsAfterBlocked = std::chrono::seconds(1);
// Where availability limits put the next stop off, another task of the step is
// away, and has to serve again within 6 s. After that the box can't be emptied
// either.
constexpr base::Micros kStallsAfterWait = std::chrono::seconds(6);
// A box that gave its slot back is not selected again within this time: as it
// is emptied, its pool lacks the box's free capacity.
constexpr base::Micros kReselectAfter = std::chrono::seconds(5);
// Time in which a long-running task that a box takes during a wave can be moved
// once more before the box's maintenance.
constexpr base::Micros kTimeToMoveATask = std::chrono::seconds(6);

// A box that has no long-running tasks any more becomes empty by itself.
bool MayBeReselected(const FleetBox& box,
                     base::Micros released_at,
                     base::Micros now) {
  return box.long_running_tasks == 0 || released_at == base::Micros{} ||
         now >= released_at + kReselectAfter;
}

}  // namespace

void FleetPlanner::SetWave(const Wave& wave,
                           const std::vector<std::string>& begun,
                           base::Micros now) {
  WaveProgress& progress = this->waves[wave.number];
  if (progress.wave.boxes.empty())
    progress.since = now;
  progress.wave = wave;
  for (const std::string& box : wave.boxes)
    progress.boxes.try_emplace(box);
  // The box may still be down; the box list shows when it is back.
  for (const std::string& box : begun) {
    const auto found = progress.boxes.find(box);
    if (found != progress.boxes.end() &&
        found->second.state == MaintenanceState::kPending) {
      found->second.state = MaintenanceState::kDown;
      found->second.since = now;
    }
  }
}

// A box goes down as soon as its maintenance call is accepted, so a worker that
// answers long after a previous owner recorded the start is back from
// maintenance. Without this, each takeover left half of the fleet unused until
// the box service had listed it.
void FleetPlanner::OnBoxAnswered(const std::string& box) {
  for (auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    Maintenance& maintenance = found->second;
    const bool is_inherited = maintenance.worker_before_call.empty();
    if (maintenance.state == MaintenanceState::kDown && is_inherited)
      maintenance.state = MaintenanceState::kDone;
  }
}

// Applies the box list to the waves: boxes that are back or removed, and
// maintenance that a previous owner started but did not record.
void FleetPlanner::ReconcileWaves(base::Micros asked, base::Micros now) {
  for (auto& [number, progress] : this->waves) {
    for (auto& [name, maintenance] : progress.boxes) {
      const auto found = this->listed.find(name);
      // A removed box needs no maintenance.
      const bool is_removed = found == this->listed.end();
      // An owner that was paused may read a list requested before the
      // maintenance call. Only a list requested after the maintenance can show
      // the box back.
      const bool back =
          !is_removed && found->second.state == BoxState::kUp &&
          maintenance.state == MaintenanceState::kDown &&
          asked > maintenance.since + this->timings.maintenance_duration;
      if (is_removed || back)
        maintenance.state = MaintenanceState::kDone;
      maintenance.is_listed_up =
          maintenance.is_inherited &&
          this->IsListedUpAfter(name, maintenance.since, asked);
      // Without a recorded start, the list may show that it was started.
      const bool may_begin =
          maintenance.state == MaintenanceState::kPending ||
          maintenance.state == MaintenanceState::kEvacuating ||
          maintenance.is_inherited;
      const bool begun = !is_removed &&
                         found->second.state == BoxState::kMaintenance &&
                         may_begin;
      if (begun && !this->IsInMaintenanceForOtherWave(number, name, asked)) {
        maintenance.state = MaintenanceState::kDown;
        maintenance.is_inherited = false;
        maintenance.since = now;
        progress.needs_report = true;
      }
    }
  }
}

// The box list does not name the wave of a maintenance, and waves may overlap.
// Were it counted for both, one wave would be reported as completed without
// its own maintenance of the box.
bool FleetPlanner::IsInMaintenanceForOtherWave(int wave,
                                               const std::string& box,
                                               base::Micros asked) const {
  return std::any_of(
      this->waves.begin(), this->waves.end(), [&](const auto& entry) {
        const auto found = entry.second.boxes.find(box);
        if (entry.first == wave || found == entry.second.boxes.end())
          return false;
        const Maintenance& maintenance = found->second;
        const bool is_recently_done =
            maintenance.state == MaintenanceState::kDone &&
            asked < maintenance.since + this->timings.maintenance_duration +
                        kMaxListAge;
        return maintenance.state == MaintenanceState::kRequested ||
               maintenance.state == MaintenanceState::kDown || is_recently_done;
      });
}

void FleetPlanner::OnMaintenanceOutcome(const MaintainBox& command,
                                        BoxCallOutcome outcome,
                                        base::Micros now) {
  const auto wave = this->waves.find(command.wave);
  if (wave == this->waves.end())
    return;
  const auto found = wave->second.boxes.find(command.box);
  if (found == wave->second.boxes.end())
    return;
  Maintenance& maintenance = found->second;
  maintenance.in_flight = false;
  switch (outcome) {
    case BoxCallOutcome::kDone:
      maintenance.state = MaintenanceState::kDown;
      maintenance.since = now;
      wave->second.needs_report = true;
      break;
    case BoxCallOutcome::kUnknown:
      maintenance.may_have_begun = true;
      maintenance.next_call_at = now + kCallRetryDelay;
      break;
    case BoxCallOutcome::kRefused:
      maintenance.state = MaintenanceState::kDone;
      break;
    case BoxCallOutcome::kNotSent:
    case BoxCallOutcome::kFenced:
    case BoxCallOutcome::kBusy:
    case BoxCallOutcome::kThrottled:
      // An earlier call that got no answer may have taken the box down.
      if (!maintenance.may_have_begun)
        maintenance.state = MaintenanceState::kPending;
      maintenance.next_call_at = now + kCallRetryDelay;
      break;
  }
}

ReportWave FleetPlanner::MakeReport(const WaveProgress& progress) const {
  ReportWave report{
      .wave = progress.wave.number,
      .state = progress.completed ? WaveState::kCompleted : WaveState::kRunning,
      .begun = {}};
  for (const auto& [box, maintenance] : progress.boxes) {
    if (maintenance.state == MaintenanceState::kDown ||
        maintenance.state == MaintenanceState::kDone)
      report.begun.push_back(box);
  }
  return report;
}

// Idle boxes go first; busy ones are evacuated. The limit covers both.
void FleetPlanner::PlanWave(WaveProgress& progress,
                            const BoxesByName& boxes,
                            base::Micros now,
                            std::vector<FleetAction>& actions) {
  // 1. Count the boxes that are away and those that are left.
  WaveCounts counts = this->CountWave(progress, boxes, now);
  if (counts.all_done && !progress.wave.boxes.empty()) {
    progress.completed = true;
    actions.emplace_back(this->MakeReport(progress));
    return;
  }
  if (progress.needs_report) {
    progress.needs_report = false;
    actions.emplace_back(this->MakeReport(progress));
  }
  // A previous owner may have started maintenance without recording it; the box
  // list shows which boxes are down.
  if (!this->has_list)
    return;
  // 2. Select further boxes, up to the wave's limit.
  ReleaseStalled(progress, counts, now);
  SelectNext(progress.wave, counts, now);
  // 3. Request maintenance for the idle ones and evacuate the others.
  RequestOrEvacuate(progress, boxes, now, actions);
}

FleetPlanner::WaveCounts FleetPlanner::CountWave(WaveProgress& progress,
                                                 const BoxesByName& boxes,
                                                 base::Micros now) const {
  WaveCounts counts;
  for (auto& [name, maintenance] : progress.boxes) {
    const auto found = boxes.find(name);
    const FleetBox* box = found == boxes.end() ? nullptr : found->second;
    const bool evacuating = maintenance.state == MaintenanceState::kEvacuating;
    counts.all_done =
        counts.all_done && maintenance.state == MaintenanceState::kDone;
    counts.away += evacuating ||
                   maintenance.state == MaintenanceState::kRequested ||
                   maintenance.state == MaintenanceState::kDown;
    counts.pinned_evacuating +=
        evacuating && box && box->long_running_tasks > 0;
    const bool can_go = maintenance.state == MaintenanceState::kPending &&
                        box && box->available &&
                        now >= maintenance.next_call_at &&
                        !this->moves.contains(name) &&
                        MayBeReselected(*box, maintenance.released_at, now);
    if (can_go)
      counts.pending.emplace_back(box, &maintenance);
  }
  return counts;
}

bool FleetPlanner::IsStalled(const Maintenance& maintenance, base::Micros now) {
  return maintenance.state == MaintenanceState::kEvacuating &&
         maintenance.stalls_at && now >= *maintenance.stalls_at;
}

void FleetPlanner::OnEvacuationStep(const std::string& box,
                                    EvacuationStep step,
                                    base::Micros now) {
  for (auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end() ||
        found->second.state != MaintenanceState::kEvacuating)
      continue;
    std::optional<base::Micros>& stalls_at = found->second.stalls_at;
    if (step == EvacuationStep::kProceeds) {
      stalls_at.reset();
      continue;
    }
    const base::Micros after = step == EvacuationStep::kBlocked
                                   ? kStallsAfterBlocked
                                   : kStallsAfterWait;
    stalls_at = std::min(stalls_at.value_or(now + after), now + after);
  }
}

// Only as many slots as there are boxes to use them. A box that has been
// stalled for longer goes first, so that all of them get their turn.
void FleetPlanner::ReleaseStalled(WaveProgress& progress,
                                  WaveCounts& counts,
                                  base::Micros now) {
  std::vector<Maintenance*> stalled;
  for (auto& [name, maintenance] : progress.boxes) {
    if (IsStalled(maintenance, now))
      stalled.push_back(&maintenance);
  }
  std::stable_sort(stalled.begin(), stalled.end(),
                   [](const Maintenance* a, const Maintenance* b) {
                     return *a->stalls_at < *b->stalls_at;
                   });
  const int free_slots =
      std::max(0, progress.wave.max_concurrent - counts.away);
  int lacking = static_cast<int>(counts.pending.size()) - free_slots;
  for (Maintenance* maintenance : stalled) {
    if (lacking <= 0)
      return;
    maintenance->state = MaintenanceState::kPending;
    maintenance->stalls_at.reset();
    maintenance->released_at = now;
    --counts.away;
    --counts.pinned_evacuating;
    --lacking;
  }
}

// Prefers idle, then lightly loaded boxes. Of those with long-running tasks,
// the ones that gave their slot back longest ago go first, after those that
// never did. One slot in kPinnedDivisor goes to boxes with long-running tasks
// first. More for a wave that is behind took boxes from pools at the height of
// their load: 0.984 of the work of a calm day in time instead of 0.995.
void FleetPlanner::SelectNext(const Wave& wave,
                              WaveCounts& counts,
                              base::Micros now) {
  std::stable_sort(
      counts.pending.begin(), counts.pending.end(),
      [](const auto& a, const auto& b) {
        const FleetBox& x = *a.first;
        const FleetBox& y = *b.first;
        const bool both_pinned =
            x.long_running_tasks > 0 && y.long_running_tasks > 0;
        if (both_pinned && a.second->released_at != b.second->released_at)
          return a.second->released_at < b.second->released_at;
        if (x.long_running_tasks != y.long_running_tasks)
          return x.long_running_tasks < y.long_running_tasks;
        return x.busy_cores < y.busy_cores;
      });
  const auto take = [&](Maintenance& maintenance) {
    maintenance.state = MaintenanceState::kEvacuating;
    maintenance.since = now;
    maintenance.stalls_at.reset();
    ++counts.away;
  };
  const int max_pinned = wave.max_concurrent / kPinnedDivisor;
  for (const auto& [box, maintenance] : counts.pending) {
    if (counts.away >= wave.max_concurrent ||
        counts.pinned_evacuating >= max_pinned)
      break;
    if (box->long_running_tasks == 0)
      continue;
    take(*maintenance);
    ++counts.pinned_evacuating;
  }
  for (const auto& [box, maintenance] : counts.pending) {
    if (counts.away >= wave.max_concurrent)
      break;
    if (maintenance->state == MaintenanceState::kPending)
      take(*maintenance);
  }
}

// Takes over a previous owner's call. Returns false while its state is unknown.
bool FleetPlanner::ResolveInherited(Maintenance& maintenance,
                                    InheritedCall inherited) {
  if (inherited == InheritedCall::kUnresolved)
    return false;
  maintenance.is_inherited = false;
  if (inherited == InheritedCall::kObsolete)
    maintenance.state = MaintenanceState::kEvacuating;
  return true;
}

void FleetPlanner::RequestOrEvacuate(WaveProgress& progress,
                                     const BoxesByName& boxes,
                                     base::Micros now,
                                     std::vector<FleetAction>& actions) {
  for (auto& [name, maintenance] : progress.boxes) {
    const auto found = boxes.find(name);
    const bool is_available = found != boxes.end() && found->second->available;
    if (maintenance.is_inherited &&
        !ResolveInherited(
            maintenance,
            ClassifyInherited(boxes, name, maintenance.is_listed_up)))
      continue;
    if (maintenance.state == MaintenanceState::kEvacuating && !is_available) {
      maintenance.state = MaintenanceState::kPending;
      continue;
    }
    const bool empty = maintenance.state == MaintenanceState::kEvacuating &&
                       is_available && found->second->idle;
    const bool is_retry = maintenance.state == MaintenanceState::kRequested;
    if ((empty || is_retry) &&
        MayCall(maintenance.in_flight, maintenance.next_call_at, now)) {
      if (empty) {
        maintenance.worker_before_call = found->second->worker;
        maintenance.first_call_at = now;
      }
      maintenance.state = MaintenanceState::kRequested;
      maintenance.in_flight = true;
      actions.emplace_back(
          MaintainBox{.box = name,
                      .wave = progress.wave.number,
                      .incarnation = maintenance.worker_before_call});
    } else if (maintenance.state == MaintenanceState::kEvacuating) {
      actions.emplace_back(EvacuateBox{.box = name});
    }
  }
}

bool FleetPlanner::IsInMaintenance(const std::string& box) const {
  for (const auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    const MaintenanceState state = found->second.state;
    if (state != MaintenanceState::kPending && state != MaintenanceState::kDone)
      return true;
  }
  return false;
}

bool FleetPlanner::IsDueInWave(const std::string& box) const {
  return std::any_of(
      this->waves.begin(), this->waves.end(), [&box](const auto& entry) {
        const auto found = entry.second.boxes.find(box);
        return !entry.second.completed && found != entry.second.boxes.end() &&
               found->second.state != MaintenanceState::kDone;
      });
}

bool FleetPlanner::IsEvacuating(const std::string& box) const {
  bool is_evacuating = false;
  for (const auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    const MaintenanceState state = found->second.state;
    if (state == MaintenanceState::kRequested ||
        state == MaintenanceState::kDown)
      return false;
    is_evacuating = is_evacuating || state == MaintenanceState::kEvacuating;
  }
  return is_evacuating && !this->moves.contains(box);
}

// A later owner does not know when the wave began, and counts from its own
// beginning.
bool FleetPlanner::MayTakeWorkInWave(const std::string& box,
                                     base::Micros now) const {
  if (!this->IsEvacuating(box))
    return false;
  return std::all_of(
      this->waves.begin(), this->waves.end(), [&](const auto& entry) {
        const WaveProgress& progress = entry.second;
        const auto found = progress.boxes.find(box);
        if (found == progress.boxes.end() ||
            found->second.state != MaintenanceState::kEvacuating)
          return true;
        const base::Micros needed =
            this->timings.maintenance_duration + kTimeToMoveATask;
        return IsStalled(found->second, now) &&
               now + needed <= progress.since + progress.wave.duration;
      });
}

bool FleetPlanner::HasOpenWave() const {
  return std::any_of(this->waves.begin(), this->waves.end(),
                     [](const auto& entry) { return !entry.second.completed; });
}

}  // namespace quartzhoist::scheduler
