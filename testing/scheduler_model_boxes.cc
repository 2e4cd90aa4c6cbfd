// The model's boxes: calls that are recorded, delayed or repeated, fencing by
// the highest epoch that a box has seen, and the check of which tasks a call
// may stop.

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

constexpr base::Micros kBoxListPeriod = milliseconds(1500);
constexpr base::Micros kCallTimeout = milliseconds(2000);
// A task that hasn't been running for this long counts as away.
constexpr base::Micros kAwayThreshold = milliseconds(4500);
constexpr int kWaveNumber = 1;

std::string BoxOf(const scheduler::BoxCall& call) {
  return std::visit([](const auto& one) { return one.box; }, call);
}

}  // namespace

// --- Moves and maintenance of boxes ---

void SchedulerModel::ShutDownBox(const std::string& name,
                                 BoxState state,
                                 base::Micros span) {
  Box& box = this->boxes.at(name);
  for (auto& [id, worker] : this->workers) {
    if (worker.box != name || !worker.alive)
      continue;
    const std::map<jobs::TaskId, WorkerRun> runs = worker.running;
    for (const auto& [task, run] : runs) {
      this->CheckDisruption(task, "call for " + name);
      worker.running.erase(task);
    }
    worker.alive = false;
    this->ScheduleAfter(this->Between(300, 3000), [this, incarnation = id] {
      this->RemoveAnnouncement(incarnation);
    });
  }
  box.state = state;
  box.available_at = this->now + span;
}

void SchedulerModel::ReturnBoxes() {
  for (auto& [name, box] : this->boxes) {
    if (box.state == BoxState::kUp || this->now < box.available_at)
      continue;
    box.state = BoxState::kUp;
    this->AddWorker(name);
  }
}

// The list is taken now and read later; a paused owner reads it when it
// resumes.
void SchedulerModel::ListBoxes(std::size_t index) {
  Owner& owner = this->owners[index];
  if (this->now < owner.next_list)
    return;
  owner.next_list = this->now + kBoxListPeriod;
  std::vector<scheduler::BoxInfo> list;
  for (const auto& [name, box] : this->boxes)
    list.push_back(
        {.name = name, .pool = box.pool, .state = box.state, .cores = 4.0});
  const base::Micros asked = this->now;
  this->ScheduleAfter(this->Between(2, 100), [this, index, list, asked] {
    this->RunWhenAwake(index, [this, index, list, asked] {
      this->owners[index].scheduler->SetBoxes(list, asked, this->now);
    });
  });
}

void SchedulerModel::BeginWave(int max_at_once) {
  this->wave_limit = max_at_once;
  for (Owner& owner : this->owners)
    this->SendWave(*owner.scheduler);
}

void SchedulerModel::SendWave(scheduler::Scheduler& owner) const {
  if (this->wave_limit == 0)
    return;
  scheduler::Wave wave{.number = kWaveNumber,
                       .boxes = {},
                       .duration = std::chrono::seconds(60),
                       .max_concurrent = this->wave_limit};
  std::vector<std::string> begun;
  for (const auto& [name, box] : this->boxes) {
    wave.boxes.push_back(name);
    if (box.had_maintenance)
      begun.push_back(name);
  }
  owner.SetWave(wave, begun, this->now);
}

int SchedulerModel::MaintainedBoxes() const {
  return static_cast<int>(std::count_if(
      this->boxes.begin(), this->boxes.end(),
      [](const auto& entry) { return entry.second.had_maintenance; }));
}

// --- Calls ---

// Stores the call in the owner's row, which only the owner that claimed the row
// may write. The call is sent once it is stored.
void SchedulerModel::RecordCall(std::size_t index,
                                const scheduler::BoxCall& call) {
  this->ScheduleAfter(this->Between(1, 20), [this, index, call] {
    Owner& owner = this->owners[index];
    if (this->IsStoreDown()) {
      this->ScheduleAfter(
          this->store_down_until - this->now,
          [this, index, call] { this->RecordCall(index, call); });
      return;
    }
    if (owner.epoch != this->calls_epoch) {
      owner.is_fenced = true;
      return;
    }
    this->calls[BoxOf(call)] = call;
    this->ScheduleAfter(this->Between(1, 20),
                        [this, index, call] { this->SendCall(index, call); });
  });
}

void SchedulerModel::EraseSettledCalls() {
  const scheduler::Scheduler& owner = *this->owners.back().scheduler;
  std::erase_if(this->calls, [&owner](const auto& entry) {
    return !owner.HasOpenBoxCall(entry.first);
  });
}

void SchedulerModel::SendCall(std::size_t index,
                              const scheduler::BoxCall& call) {
  Owner& owner = this->owners[index];
  if (this->now < owner.paused_until) {
    this->ScheduleAfter(owner.paused_until - this->now,
                        [this, index, call] { this->SendCall(index, call); });
    return;
  }
  // Checked again right before the call is sent.
  if (owner.is_fenced || this->now >= owner.certain_until) {
    this->DeliverCallOutcome(index, call, BoxCallOutcome::kNotSent);
    return;
  }
  base::Micros delay = this->Between(1, 30);
  if (this->Chance(this->faults.pause_before_call)) {
    owner.paused_until = this->now + this->Between(1000, 6000);
    delay += owner.paused_until - this->now;
  }
  const bool is_late = this->Chance(this->faults.late_call);
  if (is_late)
    delay += this->Between(2000, 6000);
  const bool is_answered = !is_late && !this->Chance(this->faults.lost_answer);
  if (!is_answered) {
    this->ScheduleAfter(delay + kCallTimeout, [this, index, call] {
      this->DeliverCallOutcome(index, call, BoxCallOutcome::kUnknown);
    });
  }
  this->ScheduleAfter(delay, [this, index, call, is_answered] {
    this->ExecuteCall(index, call, is_answered);
  });
}

void SchedulerModel::ExecuteCall(std::size_t index,
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
                    ? this->ExecuteMove(std::get<scheduler::MoveBox>(call))
                    : this->ExecuteMaintenance(
                          std::get<scheduler::MaintainBox>(call));
    }
  }
  this->LogEvent(fmt::format(
      "call of owner {} for {}: {}", this->owners[index].epoch, BoxOf(call),
      base::NameOf(scheduler::kBoxCallOutcomeNames, outcome)));
  if (is_answered)
    this->ScheduleAfter(this->Between(1, 30), [this, index, call, outcome] {
      this->DeliverCallOutcome(index, call, outcome);
    });
}

BoxCallOutcome SchedulerModel::ExecuteMove(const scheduler::MoveBox& call) {
  Box& box = this->boxes.at(call.box);
  if (box.pool == call.pool)
    return BoxCallOutcome::kDone;
  if (box.state != BoxState::kUp)
    return BoxCallOutcome::kBusy;
  this->ShutDownBox(call.box, BoxState::kMoving, kMoveTime);
  box.pool = call.pool;
  return BoxCallOutcome::kDone;
}

BoxCallOutcome SchedulerModel::ExecuteMaintenance(
    const scheduler::MaintainBox& call) {
  Box& box = this->boxes.at(call.box);
  if (box.had_maintenance)
    return BoxCallOutcome::kDone;
  if (box.state != BoxState::kUp)
    return BoxCallOutcome::kBusy;
  const auto down = std::count_if(
      this->boxes.begin(), this->boxes.end(), [](const auto& entry) {
        return entry.second.state == BoxState::kMaintenance;
      });
  if (down >= this->wave_limit)
    this->ReportViolation(fmt::format(
        "maintenance of {} starts while {} boxes are in maintenance", call.box,
        down));
  this->ShutDownBox(call.box, BoxState::kMaintenance, kMaintenanceTime);
  box.had_maintenance = true;
  return BoxCallOutcome::kDone;
}

void SchedulerModel::DeliverCallOutcome(std::size_t index,
                                        const scheduler::BoxCall& call,
                                        BoxCallOutcome outcome) {
  const base::Micros resume_at = this->owners[index].paused_until;
  if (this->now < resume_at) {
    this->ScheduleAfter(resume_at - this->now, [this, index, call, outcome] {
      this->DeliverCallOutcome(index, call, outcome);
    });
    return;
  }
  scheduler::Scheduler& owner = *this->owners[index].scheduler;
  if (const auto* move = std::get_if<scheduler::MoveBox>(&call))
    owner.MoveAnswered(*move, outcome, this->now);
  else
    owner.MaintenanceAnswered(std::get<scheduler::MaintainBox>(call), outcome,
                              this->now);
}

// --- Limit on tasks that may be away ---

void SchedulerModel::UpdatePresence() {
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running) {
      if (worker.alive && !run.stopping)
        this->presence[task] = {.last_at_work = this->now,
                                .is_away_by_command = false};
    }
  }
}

// Called when a command stops a task. Reports a violation if as many other
// tasks of its step as may be away are away already, either by a command or for
// longer than kAwayThreshold.
void SchedulerModel::CheckDisruption(const jobs::TaskId& task,
                                     const std::string& by) {
  const StoredJob& stored = this->jobs.at(task.job);
  const jobs::Step& step =
      stored.job.spec.steps[static_cast<std::size_t>(task.step)];
  const auto found = this->presence.find(task);
  const bool is_at_work =
      found != this->presence.end() &&
      found->second.last_at_work + milliseconds(100) > this->now;
  if (!step.long_running || step.max_unavailable <= 0 || stored.cancelled ||
      !is_at_work)
    return;
  std::int64_t away = 0;
  for (const auto& [other, presence] : this->presence) {
    const bool counts = other.job == task.job && other.step == task.step &&
                        other.index != task.index;
    away += counts && (presence.is_away_by_command ||
                       this->now - presence.last_at_work >= kAwayThreshold);
  }
  if (away >= step.max_unavailable)
    this->ReportViolation(
        fmt::format("{} stops {}.{} while {} other tasks of its step are away",
                    by, task.job, task.index, away));
  found->second.is_away_by_command = true;
}

}  // namespace quartzhoist::testing
