// The model's boxes: calls that are recorded, held up, late or repeated, boxes
// that keep the highest epoch they have seen, and what a call may end.

#include <algorithm>
#include <utility>
#include <variant>

#include <fmt/format.h>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

using scheduler::BoxCallOutcome;
using scheduler::BoxState;
using std::chrono::milliseconds;

constexpr base::Micros kListPeriod = milliseconds(1500);
constexpr base::Micros kCallTimeout = milliseconds(2000);
// A task that has not been at work for so long counts as away.
constexpr base::Micros kNotice = milliseconds(4500);
constexpr int kWave = 1;

std::string BoxOf(const scheduler::BoxCall& call) {
  return std::visit([](const auto& one) { return one.box; }, call);
}

}  // namespace

// --- Boxes that are away ---

void SchedulerModel::Take(const std::string& name,
                          BoxState state,
                          base::Micros span) {
  Box& box = this->boxes.at(name);
  for (auto& [id, worker] : this->workers) {
    if (worker.box != name || !worker.alive)
      continue;
    const std::map<jobs::TaskId, WorkerRun> runs = worker.running;
    for (const auto& [task, run] : runs) {
      this->JudgeAway(task, "a call for " + name);
      worker.running.erase(task);
    }
    worker.alive = false;
    this->After(this->Between(300, 3000), [this, life = id] {
      this->workers.at(life).announced = false;
      for (Owner& owner : this->owners)
        owner.scheduler->WorkerUnlisted(life, this->now);
    });
  }
  box.state = state;
  box.back = this->now + span;
}

void SchedulerModel::ReturnBoxes() {
  for (auto& [name, box] : this->boxes) {
    if (box.state == BoxState::kUp || this->now < box.back)
      continue;
    box.state = BoxState::kUp;
    this->AddWorker(name);
  }
}

// The list is asked for now and read later: by an owner that stands still, when
// it wakes.
void SchedulerModel::ListBoxes(std::size_t index) {
  Owner& owner = this->owners[index];
  if (this->now < owner.next_list)
    return;
  owner.next_list = this->now + kListPeriod;
  std::vector<scheduler::BoxInfo> list;
  for (const auto& [name, box] : this->boxes)
    list.push_back(
        {.name = name, .pool = box.pool, .state = box.state, .cores = 4.0});
  const base::Micros asked = this->now;
  this->After(this->Between(2, 100), [this, index, list, asked] {
    const base::Micros thaw = this->owners[index].frozen_until;
    const auto read = [this, index, list, asked] {
      this->owners[index].scheduler->SetBoxes(list, asked, this->now);
    };
    if (this->now < thaw)
      this->After(thaw - this->now, read);
    else
      read();
  });
}

void SchedulerModel::BeginWave(int most_at_once) {
  this->wave_most = most_at_once;
  for (Owner& owner : this->owners)
    this->TellWave(*owner.scheduler);
}

void SchedulerModel::TellWave(scheduler::Scheduler& owner) const {
  if (this->wave_most == 0)
    return;
  scheduler::Wave wave{.number = kWave,
                       .boxes = {},
                       .duration = std::chrono::seconds(60),
                       .most_at_once = this->wave_most};
  std::vector<std::string> begun;
  for (const auto& [name, box] : this->boxes) {
    wave.boxes.push_back(name);
    if (box.had_upkeep)
      begun.push_back(name);
  }
  owner.SetWave(wave, begun, this->now);
}

int SchedulerModel::UpkeepsDone() const {
  return static_cast<int>(
      std::count_if(this->boxes.begin(), this->boxes.end(),
                    [](const auto& entry) { return entry.second.had_upkeep; }));
}

// --- Calls ---

// As the owner's row does: only the owner that claimed it writes it.
void SchedulerModel::Record(std::size_t index, const scheduler::BoxCall& call) {
  this->After(this->Between(1, 20), [this, index, call] {
    Owner& owner = this->owners[index];
    if (owner.epoch != this->calls_epoch) {
      owner.gone = true;
      return;
    }
    this->calls[BoxOf(call)] = call;
    this->After(this->Between(1, 20),
                [this, index, call] { this->Call(index, call); });
  });
}

void SchedulerModel::ForgetSettledCalls() {
  const scheduler::Scheduler& owner = *this->owners.back().scheduler;
  std::erase_if(this->calls, [&owner](const auto& entry) {
    return !owner.HasOpenBoxCall(entry.first);
  });
}

void SchedulerModel::Call(std::size_t index, const scheduler::BoxCall& call) {
  Owner& owner = this->owners[index];
  if (this->now < owner.frozen_until) {
    this->After(owner.frozen_until - this->now,
                [this, index, call] { this->Call(index, call); });
    return;
  }
  // Looked at again right where it leaves.
  if (owner.gone || this->now >= owner.certain_until) {
    this->Answer(index, call, BoxCallOutcome::kNotSent);
    return;
  }
  base::Micros delay = this->Between(1, 30);
  if (this->Chance(this->faults.held_call)) {
    owner.frozen_until = this->now + this->Between(1000, 6000);
    delay += owner.frozen_until - this->now;
  }
  const bool is_late = this->Chance(this->faults.late_call);
  if (is_late)
    delay += this->Between(2000, 6000);
  const bool is_answered = !is_late && !this->Chance(this->faults.lost_answer);
  if (!is_answered) {
    this->After(delay + kCallTimeout, [this, index, call] {
      this->Answer(index, call, BoxCallOutcome::kUnknown);
    });
  }
  this->After(delay, [this, index, call, is_answered] {
    this->CarryOut(index, call, is_answered);
  });
}

void SchedulerModel::CarryOut(std::size_t index,
                              const scheduler::BoxCall& call,
                              bool is_answered) {
  const auto found = this->boxes.find(BoxOf(call));
  BoxCallOutcome outcome = BoxCallOutcome::kRefused;
  if (found != this->boxes.end()) {
    const std::uint64_t epoch = this->owners[index].epoch;
    if (epoch < found->second.epoch) {
      outcome = BoxCallOutcome::kFenced;
    } else {
      found->second.epoch = epoch;
      outcome = std::holds_alternative<scheduler::MoveBox>(call)
                    ? this->Move(std::get<scheduler::MoveBox>(call))
                    : this->Upkeep(std::get<scheduler::UpkeepBox>(call));
    }
  }
  this->Record(fmt::format(
      "call of owner {} for {}: {}", this->owners[index].epoch, BoxOf(call),
      base::NameOf(scheduler::kBoxCallOutcomeNames, outcome)));
  if (is_answered)
    this->After(this->Between(1, 30), [this, index, call, outcome] {
      this->Answer(index, call, outcome);
    });
}

BoxCallOutcome SchedulerModel::Move(const scheduler::MoveBox& call) {
  Box& box = this->boxes.at(call.box);
  if (box.pool == call.pool)
    return BoxCallOutcome::kDone;
  if (box.state != BoxState::kUp)
    return BoxCallOutcome::kBusy;
  this->Take(call.box, BoxState::kMoving, kMoveTime);
  box.pool = call.pool;
  return BoxCallOutcome::kDone;
}

BoxCallOutcome SchedulerModel::Upkeep(const scheduler::UpkeepBox& call) {
  Box& box = this->boxes.at(call.box);
  if (box.had_upkeep)
    return BoxCallOutcome::kDone;
  if (box.state != BoxState::kUp)
    return BoxCallOutcome::kBusy;
  const auto down = std::count_if(
      this->boxes.begin(), this->boxes.end(), [](const auto& entry) {
        return entry.second.state == BoxState::kUpkeep;
      });
  if (down >= this->wave_most)
    this->Broke(
        fmt::format("{} begins its upkeep while {} are down", call.box, down));
  this->Take(call.box, BoxState::kUpkeep, kUpkeepTime);
  box.had_upkeep = true;
  return BoxCallOutcome::kDone;
}

void SchedulerModel::Answer(std::size_t index,
                            const scheduler::BoxCall& call,
                            BoxCallOutcome outcome) {
  const base::Micros thaw = this->owners[index].frozen_until;
  if (this->now < thaw) {
    this->After(thaw - this->now, [this, index, call, outcome] {
      this->Answer(index, call, outcome);
    });
    return;
  }
  scheduler::Scheduler& owner = *this->owners[index].scheduler;
  if (const auto* move = std::get_if<scheduler::MoveBox>(&call))
    owner.Moved(*move, outcome, this->now);
  else
    owner.UpkeepBegun(std::get<scheduler::UpkeepBox>(call), outcome, this->now);
}

// --- What may be away ---

void SchedulerModel::NotePresence() {
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running) {
      if (worker.alive && !run.stopping)
        this->lasting[task] = {.last_at_work = this->now,
                               .is_away_by_order = false};
    }
  }
}

// An order ends a task at work: fewer of its step than may be missed are away,
// by an order or for long.
void SchedulerModel::JudgeAway(const jobs::TaskId& task,
                               const std::string& by) {
  const StoredJob& stored = this->jobs.at(task.job);
  const jobs::Step& step =
      stored.job.spec.steps[static_cast<std::size_t>(task.step)];
  const auto found = this->lasting.find(task);
  const bool is_at_work =
      found != this->lasting.end() &&
      found->second.last_at_work + milliseconds(100) > this->now;
  if (!step.long_running || step.max_unavailable <= 0 || stored.cancelled ||
      !is_at_work)
    return;
  std::int64_t away = 0;
  for (const auto& [other, presence] : this->lasting) {
    const bool counts = other.job == task.job && other.step == task.step &&
                        other.index != task.index;
    away += counts && (presence.is_away_by_order ||
                       this->now - presence.last_at_work >= kNotice);
  }
  if (away >= step.max_unavailable)
    this->Broke(fmt::format("{} ends {}.{} while {} of its step are away", by,
                            task.job, task.index, away));
  found->second.is_away_by_order = true;
}

}  // namespace quartzhoist::testing
