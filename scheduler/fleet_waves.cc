// Waves: which boxes get their upkeep next, and how far each wave is.

#include <algorithm>

#include "scheduler/fleet.h"

namespace quartzhoist::scheduler {

namespace {

// Of so many boxes that a wave may have away, one is kept for boxes that hold
// lasting tasks, from the beginning on: those leave a few at a time, and take
// the longest. On five days of large fleets 20 boxes were left when their waves
// were due, and 9 so.
constexpr int kPinnedShare = 8;

// A list of boxes may show what was true so long before it was asked for. Not
// known from a run: the pages name no bound.
constexpr base::Micros kListAge = std::chrono::seconds(4);

}  // namespace

void Fleet::SetWave(const Wave& wave,
                    const std::vector<std::string>& begun,
                    base::Micros now) {
  WaveProgress& progress = this->waves[wave.number];
  if (progress.wave.boxes.empty())
    progress.since = now;
  progress.wave = wave;
  for (const std::string& box : wave.boxes)
    progress.boxes.try_emplace(box);
  // It may still be down: the list of boxes says when it is back.
  for (const std::string& box : begun) {
    const auto found = progress.boxes.find(box);
    if (found != progress.boxes.end() &&
        found->second.state == UpkeepState::kPending) {
      found->second.state = UpkeepState::kDown;
      found->second.since = now;
    }
  }
}

// A box goes down as soon as its upkeep is accepted: whoever answers there,
// long after an earlier owner saw that, is back from it. Without this, each
// takeover left out half of the fleet until the box service had listed it.
void Fleet::BoxAnswered(const std::string& box) {
  for (auto& [number, progress] : this->waves) {
    const auto found = progress.boxes.find(box);
    if (found == progress.boxes.end())
      continue;
    Upkeep& upkeep = found->second;
    const bool is_inherited = upkeep.worker_before.empty();
    if (upkeep.state == UpkeepState::kDown && is_inherited)
      upkeep.state = UpkeepState::kDone;
  }
}

// What an earlier owner began without coming to record it, and what is back.
void Fleet::CompareWavesWithList(base::Micros asked, base::Micros now) {
  for (auto& [number, progress] : this->waves) {
    for (auto& [name, upkeep] : progress.boxes) {
      const auto found = this->listed.find(name);
      // A box that has been taken away needs no upkeep.
      const bool gone = found == this->listed.end();
      // The list may have been asked for before the call, and be read by an
      // owner that stood still meanwhile: it counts once it was asked for after
      // the upkeep.
      const bool back = !gone && found->second.state == BoxState::kUp &&
                        upkeep.state == UpkeepState::kDown &&
                        asked > upkeep.since + this->limits.upkeep_time;
      if (gone || back)
        upkeep.state = UpkeepState::kDone;
      // An earlier owner began it, and did not come to record it.
      const bool may_begin = upkeep.state == UpkeepState::kPending ||
                             upkeep.state == UpkeepState::kEmptying ||
                             upkeep.is_inherited;
      const bool begun =
          !gone && found->second.state == BoxState::kMaintenance && may_begin;
      if (begun && !this->InUpkeepOfAnother(number, name, asked)) {
        upkeep.state = UpkeepState::kDown;
        upkeep.is_inherited = false;
        upkeep.since = now;
        progress.to_report = true;
      }
    }
  }
}

// The list does not say for which wave a box is in its upkeep. Waves overlap:
// taken for both, one of them was said to be completed without the box.
bool Fleet::InUpkeepOfAnother(int wave,
                              const std::string& box,
                              base::Micros asked) const {
  return std::any_of(
      this->waves.begin(), this->waves.end(), [&](const auto& entry) {
        const auto found = entry.second.boxes.find(box);
        if (entry.first == wave || found == entry.second.boxes.end())
          return false;
        const Upkeep& upkeep = found->second;
        const bool is_back_lately =
            upkeep.state == UpkeepState::kDone &&
            asked < upkeep.since + this->limits.upkeep_time + kListAge;
        return upkeep.state == UpkeepState::kCalling ||
               upkeep.state == UpkeepState::kDown || is_back_lately;
      });
}

void Fleet::UpkeepBegun(const MaintainBox& order,
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
      wave->second.to_report = true;
      break;
    case BoxCallOutcome::kUnknown:
      upkeep.may_have_begun = true;
      upkeep.next_call = now + kCallAgain;
      break;
    case BoxCallOutcome::kRefused:
      upkeep.state = UpkeepState::kDone;
      break;
    case BoxCallOutcome::kNotSent:
    case BoxCallOutcome::kFenced:
    case BoxCallOutcome::kBusy:
    case BoxCallOutcome::kThrottled:
      // An earlier call without an answer may have taken it down.
      if (!upkeep.may_have_begun)
        upkeep.state = UpkeepState::kPending;
      upkeep.next_call = now + kCallAgain;
      break;
  }
}

ReportWave Fleet::Report(const WaveProgress& progress) const {
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

// Boxes that are empty go first; others are emptied, as many as may be away.
void Fleet::PlanWave(WaveProgress& progress,
                     const BoxesByName& boxes,
                     base::Micros now,
                     std::vector<FleetStep>& steps) {
  // 1. What is on its way, and what is left.
  WaveTurn turn = this->CountWave(progress, boxes, now);
  if (turn.all_done && !progress.wave.boxes.empty()) {
    progress.completed = true;
    steps.emplace_back(this->Report(progress));
    return;
  }
  if (progress.to_report) {
    progress.to_report = false;
    steps.emplace_back(this->Report(progress));
  }
  // Which boxes are down is known from the list: an earlier owner may have
  // begun some.
  if (!this->has_list)
    return;
  // 2. Take the next, as many as may be away.
  TakeNext(progress.wave, turn, now);
  // 3. Call for those that are empty; empty the others.
  CallOrEmpty(progress, boxes, now, steps);
}

Fleet::WaveTurn Fleet::CountWave(WaveProgress& progress,
                                 const BoxesByName& boxes,
                                 base::Micros now) const {
  WaveTurn turn;
  for (auto& [name, upkeep] : progress.boxes) {
    const auto found = boxes.find(name);
    const FleetBox* box = found == boxes.end() ? nullptr : found->second;
    const bool emptying = upkeep.state == UpkeepState::kEmptying;
    turn.all_done = turn.all_done && upkeep.state == UpkeepState::kDone;
    turn.away += emptying || upkeep.state == UpkeepState::kCalling ||
                 upkeep.state == UpkeepState::kDown;
    turn.pinned_away += emptying && box && box->lasting > 0;
    const bool can_go = upkeep.state == UpkeepState::kPending && box &&
                        box->up && now >= upkeep.next_call &&
                        !this->moves.contains(name);
    if (can_go)
      turn.pending.emplace_back(box, &upkeep);
  }
  return turn;
}

// Idle boxes, then those with little on them; of eight places one goes to boxes
// that hold lasting tasks.
void Fleet::TakeNext(const Wave& wave, WaveTurn& turn, base::Micros now) {
  std::stable_sort(turn.pending.begin(), turn.pending.end(),
                   [](const auto& a, const auto& b) {
                     const FleetBox& x = *a.first;
                     const FleetBox& y = *b.first;
                     if (x.lasting != y.lasting)
                       return x.lasting < y.lasting;
                     return x.busy_cores < y.busy_cores;
                   });
  const auto take = [&](Upkeep& upkeep) {
    upkeep.state = UpkeepState::kEmptying;
    upkeep.since = now;
    ++turn.away;
  };
  const int pinned_share = wave.max_concurrent / kPinnedShare;
  for (const auto& [box, upkeep] : turn.pending) {
    if (turn.away >= wave.max_concurrent || turn.pinned_away >= pinned_share)
      break;
    if (box->lasting == 0)
      continue;
    take(*upkeep);
    ++turn.pinned_away;
  }
  for (const auto& [box, upkeep] : turn.pending) {
    if (turn.away >= wave.max_concurrent)
      break;
    if (upkeep->state == UpkeepState::kPending)
      take(*upkeep);
  }
}

// An earlier owner's call becomes this one's: false while it must wait.
bool Fleet::TakeUp(Upkeep& upkeep, Inherited inherited) {
  if (inherited == Inherited::kWaits)
    return false;
  upkeep.is_inherited = false;
  if (inherited == Inherited::kIsVoid)
    upkeep.state = UpkeepState::kEmptying;
  return true;
}

void Fleet::CallOrEmpty(WaveProgress& progress,
                        const BoxesByName& boxes,
                        base::Micros now,
                        std::vector<FleetStep>& steps) {
  for (auto& [name, upkeep] : progress.boxes) {
    const auto found = boxes.find(name);
    const bool here = found != boxes.end() && found->second->up;
    if (upkeep.is_inherited && !TakeUp(upkeep, JudgeInherited(boxes, name)))
      continue;
    if (upkeep.state == UpkeepState::kEmptying && !here) {
      upkeep.state = UpkeepState::kPending;
      continue;
    }
    const bool empty =
        upkeep.state == UpkeepState::kEmptying && here && found->second->idle;
    const bool again = upkeep.state == UpkeepState::kCalling;
    if ((empty || again) &&
        MayBeAsked(upkeep.in_flight, upkeep.next_call, now)) {
      if (empty) {
        upkeep.worker_before = found->second->worker;
        upkeep.first_call = now;
      }
      upkeep.state = UpkeepState::kCalling;
      upkeep.in_flight = true;
      steps.emplace_back(MaintainBox{.box = name,
                                     .wave = progress.wave.number,
                                     .life = upkeep.worker_before});
    } else if (upkeep.state == UpkeepState::kEmptying) {
      steps.emplace_back(Evacuate{.box = name});
    }
  }
}

bool Fleet::InUpkeep(const std::string& box) const {
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

bool Fleet::HasOpenWave() const {
  return std::any_of(this->waves.begin(), this->waves.end(),
                     [](const auto& entry) { return !entry.second.completed; });
}

}  // namespace quartzhoist::scheduler
