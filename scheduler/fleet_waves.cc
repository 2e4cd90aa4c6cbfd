// Maintenance waves: selects the boxes that go into upkeep next and tracks the
// progress of each wave.

#include <algorithm>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

namespace {

// One in this many of a wave's slots is reserved from the start for boxes with
// long-running tasks, which are evacuated a few tasks at a time and take the
// longest. Over five test days of large fleets this reduced the boxes left
// at their waves' deadlines from 20 to 9.
constexpr int kPinnedDivisor = 8;

// Assumed bound on how far a box list may lag behind the time of its request.
// The platform documents none.
constexpr base::Micros kMaxListAge = std::chrono::seconds(4);

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
        found->second.state == UpkeepState::kPending) {
      found->second.state = UpkeepState::kDown;
      found->second.since = now;
    }
  }
}

// A box goes down as soon as its upkeep call is accepted, so a worker that
// answers long after a previous owner recorded the start is back from upkeep.
// Without this, each takeover left half of the fleet unused until the box
// service had listed it.
void FleetPlanner::OnBoxAnswered(const std::string& box) {
  for (auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    Upkeep& upkeep = found->second;
    const bool is_inherited = upkeep.worker_before_call.empty();
    if (upkeep.state == UpkeepState::kDown && is_inherited)
      upkeep.state = UpkeepState::kDone;
  }
}

// Applies the box list to the waves: boxes that are back or removed, and upkeep
// that a previous owner started but did not record.
void FleetPlanner::ReconcileWaves(base::Micros asked, base::Micros now) {
  for (auto& [number, progress] : this->waves) {
    for (auto& [name, upkeep] : progress.boxes) {
      const auto found = this->listed.find(name);
      // A removed box needs no upkeep.
      const bool is_removed = found == this->listed.end();
      // An owner that was paused may read a list requested before the upkeep
      // call. Only a list requested after the upkeep can show the box back.
      const bool back = !is_removed && found->second.state == BoxState::kUp &&
                        upkeep.state == UpkeepState::kDown &&
                        asked > upkeep.since + this->limits.upkeep_duration;
      if (is_removed || back)
        upkeep.state = UpkeepState::kDone;
      // Without a recorded start, the list may show that it was started.
      const bool may_begin = upkeep.state == UpkeepState::kPending ||
                             upkeep.state == UpkeepState::kEvacuating ||
                             upkeep.is_inherited;
      const bool begun = !is_removed &&
                         found->second.state == BoxState::kMaintenance &&
                         may_begin;
      if (begun && !this->IsInUpkeepForOtherWave(number, name, asked)) {
        upkeep.state = UpkeepState::kDown;
        upkeep.is_inherited = false;
        upkeep.since = now;
        progress.needs_report = true;
      }
    }
  }
}

// The box list does not name the wave of an upkeep, and waves may overlap. Were
// the upkeep counted for both, one wave would be reported as completed without
// its own upkeep of the box.
bool FleetPlanner::IsInUpkeepForOtherWave(int wave,
                                          const std::string& box,
                                          base::Micros asked) const {
  return std::any_of(
      this->waves.begin(), this->waves.end(), [&](const auto& entry) {
        const auto found = entry.second.boxes.find(box);
        if (entry.first == wave || found == entry.second.boxes.end())
          return false;
        const Upkeep& upkeep = found->second;
        const bool is_recently_done =
            upkeep.state == UpkeepState::kDone &&
            asked < upkeep.since + this->limits.upkeep_duration + kMaxListAge;
        return upkeep.state == UpkeepState::kRequested ||
               upkeep.state == UpkeepState::kDown || is_recently_done;
      });
}

void FleetPlanner::OnUpkeepOutcome(const MaintainBox& order,
                                   BoxCallOutcome outcome,
                                   base::Micros now) {
  const auto wave = this->waves.find(order.wave);
  if (wave == this->waves.end())
    return;
  const auto found = wave->second.boxes.find(order.box);
  if (found == wave->second.boxes.end())
    return;
  Upkeep& upkeep = found->second;
  upkeep.in_flight = false;
  switch (outcome) {
    case BoxCallOutcome::kDone:
      upkeep.state = UpkeepState::kDown;
      upkeep.since = now;
      wave->second.needs_report = true;
      break;
    case BoxCallOutcome::kUnknown:
      upkeep.may_have_begun = true;
      upkeep.next_call_at = now + kCallRetryDelay;
      break;
    case BoxCallOutcome::kRefused:
      upkeep.state = UpkeepState::kDone;
      break;
    case BoxCallOutcome::kNotSent:
    case BoxCallOutcome::kFenced:
    case BoxCallOutcome::kBusy:
    case BoxCallOutcome::kThrottled:
      // An earlier call that got no answer may have taken the box down.
      if (!upkeep.may_have_begun)
        upkeep.state = UpkeepState::kPending;
      upkeep.next_call_at = now + kCallRetryDelay;
      break;
  }
}

ReportWave FleetPlanner::MakeReport(const WaveProgress& progress) const {
  ReportWave report{
      .wave = progress.wave.number,
      .state = progress.completed ? WaveState::kCompleted : WaveState::kRunning,
      .begun = {}};
  for (const auto& [box, upkeep] : progress.boxes) {
    if (upkeep.state == UpkeepState::kDown ||
        upkeep.state == UpkeepState::kDone)
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
  // A previous owner may have started upkeep without recording it; the box list
  // shows which boxes are down.
  if (!this->has_list)
    return;
  // 2. Select further boxes, up to the wave's limit.
  SelectNext(progress.wave, counts, now);
  // 3. Request upkeep for the idle ones and evacuate the others.
  RequestOrEvacuate(progress, boxes, now, actions);
}

FleetPlanner::WaveCounts FleetPlanner::CountWave(WaveProgress& progress,
                                                 const BoxesByName& boxes,
                                                 base::Micros now) const {
  WaveCounts counts;
  for (auto& [name, upkeep] : progress.boxes) {
    const auto found = boxes.find(name);
    const FleetBox* box = found == boxes.end() ? nullptr : found->second;
    const bool evacuating = upkeep.state == UpkeepState::kEvacuating;
    counts.all_done = counts.all_done && upkeep.state == UpkeepState::kDone;
    counts.away += evacuating || upkeep.state == UpkeepState::kRequested ||
                   upkeep.state == UpkeepState::kDown;
    counts.pinned_evacuating +=
        evacuating && box && box->long_running_tasks > 0;
    const bool can_go = upkeep.state == UpkeepState::kPending && box &&
                        box->available && now >= upkeep.next_call_at &&
                        !this->moves.contains(name);
    if (can_go)
      counts.pending.emplace_back(box, &upkeep);
  }
  return counts;
}

// Prefers idle, then lightly loaded boxes. One slot in kPinnedDivisor goes to
// boxes with long-running tasks first.
void FleetPlanner::SelectNext(const Wave& wave,
                              WaveCounts& counts,
                              base::Micros now) {
  std::stable_sort(counts.pending.begin(), counts.pending.end(),
                   [](const auto& a, const auto& b) {
                     const FleetBox& x = *a.first;
                     const FleetBox& y = *b.first;
                     if (x.long_running_tasks != y.long_running_tasks)
                       return x.long_running_tasks < y.long_running_tasks;
                     return x.busy_cores < y.busy_cores;
                   });
  const auto take = [&](Upkeep& upkeep) {
    upkeep.state = UpkeepState::kEvacuating;
    upkeep.since = now;
    ++counts.away;
  };
  const int max_pinned = wave.max_concurrent / kPinnedDivisor;
  for (const auto& [box, upkeep] : counts.pending) {
    if (counts.away >= wave.max_concurrent ||
        counts.pinned_evacuating >= max_pinned)
      break;
    if (box->long_running_tasks == 0)
      continue;
    take(*upkeep);
    ++counts.pinned_evacuating;
  }
  for (const auto& [box, upkeep] : counts.pending) {
    if (counts.away >= wave.max_concurrent)
      break;
    if (upkeep->state == UpkeepState::kPending)
      take(*upkeep);
  }
}

// Takes over a previous owner's call. Returns false while its state is unknown.
bool FleetPlanner::ResolveInherited(Upkeep& upkeep, InheritedCall inherited) {
  if (inherited == InheritedCall::kUnresolved)
    return false;
  upkeep.is_inherited = false;
  if (inherited == InheritedCall::kObsolete)
    upkeep.state = UpkeepState::kEvacuating;
  return true;
}

void FleetPlanner::RequestOrEvacuate(WaveProgress& progress,
                                     const BoxesByName& boxes,
                                     base::Micros now,
                                     std::vector<FleetAction>& actions) {
  for (auto& [name, upkeep] : progress.boxes) {
    const auto found = boxes.find(name);
    const bool is_available = found != boxes.end() && found->second->available;
    if (upkeep.is_inherited &&
        !ResolveInherited(upkeep, ClassifyInherited(boxes, name)))
      continue;
    if (upkeep.state == UpkeepState::kEvacuating && !is_available) {
      upkeep.state = UpkeepState::kPending;
      continue;
    }
    const bool empty = upkeep.state == UpkeepState::kEvacuating &&
                       is_available && found->second->idle;
    const bool is_retry = upkeep.state == UpkeepState::kRequested;
    if ((empty || is_retry) &&
        MayCall(upkeep.in_flight, upkeep.next_call_at, now)) {
      if (empty) {
        upkeep.worker_before_call = found->second->worker;
        upkeep.first_call_at = now;
      }
      upkeep.state = UpkeepState::kRequested;
      upkeep.in_flight = true;
      actions.emplace_back(MaintainBox{.box = name,
                                       .wave = progress.wave.number,
                                       .life = upkeep.worker_before_call});
    } else if (upkeep.state == UpkeepState::kEvacuating) {
      actions.emplace_back(EvacuateBox{.box = name});
    }
  }
}

bool FleetPlanner::IsInUpkeep(const std::string& box) const {
  for (const auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    const UpkeepState state = found->second.state;
    if (state != UpkeepState::kPending && state != UpkeepState::kDone)
      return true;
  }
  return false;
}

bool FleetPlanner::HasOpenWave() const {
  return std::any_of(this->waves.begin(), this->waves.end(),
                     [](const auto& entry) { return !entry.second.completed; });
}

}  // namespace quartzhoist::scheduler
