// The model's faults of workers, of the store and of owners.

#include <algorithm>
#include <utility>

#include <fmt/format.h>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

// Takeovers drawn at random end at this number of owners.
constexpr std::size_t kMaxOwners = 6;

}  // namespace

void SchedulerModel::InjectFaults(base::Micros span) {
  const std::pair<double, ModelFault> odds_per_second[] = {
      {this->faults.crash, ModelFault::kCrash},
      {this->faults.restart, ModelFault::kRestart},
      {this->faults.capacity_drop, ModelFault::kCapacityDrop},
      {this->faults.announcement_outage, ModelFault::kAnnouncementOutage},
      {this->faults.store_outage, ModelFault::kRowOutage},
      {this->faults.partition, ModelFault::kPartition},
      {this->faults.owner_pause, ModelFault::kOwnerPause},
      {this->faults.takeover, ModelFault::kTakeover},
  };
  for (const auto& [odds, fault] : odds_per_second) {
    if (this->Chance(odds * base::Seconds(span)))
      this->Begin(fault);
  }
  // Draws no random number without this fault, which keeps the plays of the
  // seeds that do not use it.
  if (this->faults.withdrawal > 0.0 &&
      this->Chance(this->faults.withdrawal * base::Seconds(span)))
    this->Begin(ModelFault::kWithdrawal);
}

void SchedulerModel::BeginAfter(base::Micros delay, ModelFault fault) {
  this->ScheduleAfter(delay, [this, fault] { this->Begin(fault); });
}

void SchedulerModel::Begin(ModelFault fault) {
  switch (fault) {
    case ModelFault::kCrash:
      this->EndIncarnation(this->AnyWorker());
      break;
    case ModelFault::kRestart:
      if (Worker& worker = this->AnyWorker(); worker.alive)
        this->Restart(worker);
      break;
    case ModelFault::kPartition:
      this->BeginPartition();
      break;
    case ModelFault::kCapacityDrop:
      this->DropCapacity(this->AnyWorker(), this->Between(1000, 6000));
      break;
    case ModelFault::kAnnouncementOutage:
      this->BeginAnnouncementOutage({}, this->Between(1000, 6000),
                                    this->Chance(0.5));
      break;
    case ModelFault::kRowOutage:
      std::next(this->jobs.begin(),
                static_cast<std::ptrdiff_t>(this->random() % this->jobs.size()))
          ->second.unavailable_until = this->now + this->Between(1000, 6000);
      break;
    case ModelFault::kOwnerPause:
      this->PauseOwner({}, this->Between(1000, 6000));
      break;
    case ModelFault::kTakeover:
      if (this->owners.size() < kMaxOwners)
        this->BeginTakeover({});
      break;
    case ModelFault::kWithdrawal:
      this->BeginWithdrawal(this->AnyWorker());
      break;
  }
}

SchedulerModel::Worker& SchedulerModel::AnyWorker() {
  return std::next(
             this->workers.begin(),
             static_cast<std::ptrdiff_t>(this->random() % this->workers.size()))
      ->second;
}

void SchedulerModel::EndIncarnation(Worker& worker) {
  if (!worker.alive)
    return;
  this->CountLosses(worker);
  worker.alive = false;
  worker.running.clear();
  this->boxes.erase(worker.box);
  this->AddBox("pool");
}

void SchedulerModel::BeginWithdrawal(Worker& worker) {
  if (!worker.alive || worker.withdrawn)
    return;
  this->LogEvent(fmt::format("{} removes its announcement", worker.id));
  worker.withdrawn = true;
  this->RemoveAnnouncement(worker.id);
  this->ScheduleAfter(this->Between(1000, 8000),
                      [this, id = worker.id, born = worker.born_ms] {
                        Worker& leaving = this->workers.at(id);
                        if (leaving.born_ms == born)
                          this->EndIncarnation(leaving);
                      });
}

void SchedulerModel::BeginPartition() {
  const std::size_t index = this->random() % this->owners.size();
  const std::string id = this->AnyWorker().id;
  this->owners[index].partitioned_from.insert(id);
  this->ScheduleAfter(this->Between(500, 8000), [this, index, id] {
    this->owners[index].partitioned_from.erase(id);
  });
}

void SchedulerModel::CutOwnerFromWorkersOf(const std::string& job) {
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.running) {
      if (task.job == job)
        this->owners.back().partitioned_from.insert(id);
    }
  }
}

void SchedulerModel::PauseOwner(base::Micros delay, base::Micros span) {
  this->ScheduleAfter(delay, [this, span] {
    Owner& owner = this->owners.back();
    owner.paused_until = std::max(owner.paused_until, this->now + span);
  });
}

void SchedulerModel::DropCapacities(base::Micros delay,
                                    base::Micros span,
                                    int count) {
  std::vector<std::string> ids;
  for (const auto& [id, worker] : this->workers)
    ids.push_back(id);
  std::shuffle(ids.begin(), ids.end(), this->random);
  ids.resize(std::min(ids.size(), static_cast<std::size_t>(count)));
  this->ScheduleAfter(delay, [this, span, ids] {
    for (const std::string& id : ids)
      this->DropCapacity(this->workers.at(id), span);
  });
}

void SchedulerModel::DropCapacity(Worker& worker, base::Micros span) {
  if (!worker.alive || worker.capacity != kWorkerCapacity)
    return;
  this->ChangeCapacity(worker, {.cpu_millis = 1000,
                                .memory_mb = kWorkerCapacity.memory_mb / 2,
                                .gpus = 0});
  this->ScheduleAfter(span, [this, id = worker.id] {
    this->ChangeCapacity(this->workers.at(id), kWorkerCapacity);
  });
}

// Running tasks are not affected.
void SchedulerModel::ChangeCapacity(Worker& worker,
                                    const jobs::Resources& capacity) {
  worker.earlier_capacity = worker.capacity;
  worker.capacity_changed = this->now;
  worker.capacity = capacity;
  this->LogEvent(fmt::format("{} has {} thousandths of a core now", worker.id,
                             capacity.cpu_millis));
}

}  // namespace quartzhoist::testing
