// Scheduler's interface to the fleet planner: builds its view of the pools and
// carries out its actions, including the evacuation of boxes.

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "scheduler/scheduler.h"
#include "scheduler/start_constraints.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Interval between planning rounds. A move takes at least six times as long, so
// that planning more often would not bring boxes sooner.
constexpr base::Micros kPlanInterval = milliseconds(250);

// Maximum age of a report that shows a long-running task at work. Above the
// longest wait of a poll (2 s), below the time after which the sites count a
// silent task as away (4.5 s).
constexpr base::Micros kMaxReportAge = milliseconds(3000);

// Weight of the growth of arrivals in a pool's expected demand. A box arrives
// 1.5 to 2 s after it was requested: demand that keeps growing is then higher
// by a multiple of its last second's growth.
constexpr double kTrendWeight = 4.0;

// A task that has waited this long for capacity is taken to fit on none of its
// pool's boxes, for lack of memory or because of limits on tasks per box.
// Longer than a scheduling pass plus a planning round (0.3 s); short enough for
// long-running tasks to run again within the required 6 s.
constexpr base::Micros kStuckAfter = milliseconds(1000);
// Above this utilization a pool is short of cores and gets boxes on that
// account (kTargetUtilization in fleet.cc, less some slack).
constexpr double kFullPoolUtilization = 0.7;

// Whether the task runs on a box, or waits for something that boxes provide.
bool CountsAsDemand(const Task& task) {
  return task.state == TaskState::kPlaced ||
         (task.state == TaskState::kReady &&
          MoreBoxesMayHelp(task.wait_reason));
}

bool IsStuck(const ReadyTask& task, bool has_cores, base::Micros now) {
  const Task& waiting = TaskAt(*task.job, task.position);
  return waiting.state == TaskState::kReady &&
         waiting.wait_reason == WaitReason::kCapacity &&
         now - waiting.ready_since > kStuckAfter &&
         (StepOf(*task.job, task.position).long_running || has_cores);
}

int PriorityOf(const std::unordered_map<std::string, Job>& jobs,
               const jobs::TaskId& task) {
  const auto job = jobs.find(task.job);
  return job == jobs.end() ? 0 : job->second.queue.priority;
}

}  // namespace

FleetView Scheduler::BuildFleetView(base::Micros now) {
  FleetView view;
  std::map<std::string, std::map<int, PoolDemand>> demand_by_pool;
  for (const auto& [id, worker] : this->workers) {
    FleetBox box;
    box.name = worker.info.box;
    box.pool = worker.info.service;
    box.worker = id;
    // A lease that expired in this owner's records may have been renewed by
    // another owner: only an answer from the worker shows that the box is
    // empty.
    box.available = worker.is_announced && worker.is_described &&
                    worker.has_reported && !worker.info.draining &&
                    !worker.runs_presumed_over;
    box.in_evacuated_zone = this->fleet.IsEvacuated(worker.info.zone);
    box.idle = worker.idle();
    box.runs_presumed_over = worker.runs_presumed_over;
    box.has_only_inherited_runs =
        !worker.idle() &&
        std::all_of(worker.runs.begin(), worker.runs.end(),
                    [](const auto& entry) {
                      return entry.second.state == RunState::kInherited;
                    });
    box.cores = static_cast<double>(worker.info.capacity.cpu_millis) / 1000.0;
    box.busy_cores = static_cast<double>(worker.used.cpu_millis) / 1000.0;
    box.long_running_tasks = worker.long_running_tasks;
    for (const auto& [task, run] : worker.runs) {
      demand_by_pool[box.pool][PriorityOf(this->jobs, task)].current_cores +=
          static_cast<double>(run.reserved.cpu_millis) / 1000.0;
    }
    view.boxes.push_back(std::move(box));
  }
  for (const auto& [service, tasks] : this->ready) {
    for (const ReadyTask& task : tasks) {
      const jobs::Step& step = StepOf(*task.job, task.position);
      if (!step.fills && CountsAsDemand(TaskAt(*task.job, task.position)))
        demand_by_pool[service][task.priority].current_cores +=
            static_cast<double>(step.task_resources.cpu_millis) / 1000.0;
    }
  }
  for (const jobs::Queue& queue : this->config.queues) {
    demand_by_pool[queue.service][queue.priority].expected_cores +=
        kTrendWeight * this->demand.ExpectedGrowth(queue.name, now);
  }
  std::map<std::string, int> min_boxes = this->MinBoxes();
  this->AddBoxesForStuckTasks(now, view, min_boxes);
  for (const jobs::Service& service : this->config.services) {
    view.pools.push_back({.name = service.name,
                          .spare = service.spare,
                          .demand = demand_by_pool[service.name],
                          .min_boxes = min_boxes[service.name]});
  }
  return view;
}

// Boxes that each pool needs for its long-running tasks: as many as their limit
// per box requires, else one. A box being evacuated for a wave does not count.
std::map<std::string, int> Scheduler::MinBoxes() const {
  std::map<std::string, int> min_boxes;
  for (const auto& [id, job] : this->jobs) {
    if (job.finished())
      continue;
    for (const Occurrence& occurrence : job.occurrences) {
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        const jobs::Step& step = job.spec.steps[s];
        if (!step.long_running)
          continue;
        const std::vector<Task>& all = occurrence.steps[s].tasks;
        const std::int64_t tasks =
            std::count_if(all.begin(), all.end(), CountsAsDemand);
        const std::int64_t max_per_box = step.max_per_worker;
        const std::int64_t boxes = max_per_box > 0
                                       ? (tasks + max_per_box - 1) / max_per_box
                                       : std::min<std::int64_t>(tasks, 1);
        int& known = min_boxes[job.queue.service];
        known = std::max(known, static_cast<int>(boxes));
      }
    }
  }
  return min_boxes;
}

// Raises the minimum of pools whose boxes are exhausted in something other than
// cores, which core demand does not show, to one box more than they have.
void Scheduler::AddBoxesForStuckTasks(base::Micros now,
                                      const FleetView& view,
                                      std::map<std::string, int>& min_boxes) {
  std::map<std::string, int> idle;
  for (const auto& [incarnation, worker] : this->workers)
    idle[worker.info.service] += worker.idle() && this->IsUsable(worker, now);
  for (const auto& [service, tasks] : this->ready) {
    int boxes = 0;
    bool has_leaving = false;
    double cores = 0.0;
    double taken = 0.0;
    for (const FleetBox& box : view.boxes) {
      if (box.pool != service || !box.available || box.in_evacuated_zone)
        continue;
      if (this->fleet.IsLeaving(box.name)) {
        has_leaving = true;
        continue;
      }
      ++boxes;
      cores += box.cores;
      taken += box.busy_cores;
    }
    // While boxes are leaving, the pool's allocation decides how many it keeps.
    const bool has_cores =
        (boxes == 0 && !has_leaving) || taken < kFullPoolUtilization * cores;
    const bool is_stuck = std::any_of(
        tasks.begin(), tasks.end(),
        [&](const ReadyTask& task) { return IsStuck(task, has_cores, now); });
    if (!is_stuck) {
      this->box_requests.Clear(service);
      continue;
    }
    const int requested =
        this->box_requests.MinBoxes(service, boxes, idle[service], now);
    min_boxes[service] = std::max(min_boxes[service], requested);
  }
}

void Scheduler::SetWave(const Wave& wave,
                        const std::vector<std::string>& begun,
                        base::Micros now) {
  this->fleet.SetWave(wave, begun, now);
  for (const auto& [id, worker] : this->workers) {
    if (worker.has_reported)
      this->fleet.OnBoxAnswered(worker.info.box);
  }
}

void Scheduler::SetBoxes(const std::vector<BoxInfo>& boxes,
                         base::Micros asked,
                         base::Micros now) {
  this->fleet.SetBoxes(boxes, asked, now);
}

void Scheduler::InheritBoxCalls(const std::vector<BoxCall>& calls,
                                base::Micros now) {
  for (const BoxCall& call : calls)
    std::visit([&](const auto& one) { this->fleet.Inherit(one, now); }, call);
}

void Scheduler::MoveAnswered(const MoveBox& command,
                             BoxCallOutcome outcome,
                             base::Micros now) {
  this->fleet.OnMoveOutcome(command, outcome, now);
  if (outcome == BoxCallOutcome::kFenced)
    this->is_fenced = true;
  if (outcome == BoxCallOutcome::kDone)
    this->ReclaimBox(command.box, now);
}

void Scheduler::MaintenanceAnswered(const MaintainBox& command,
                                    BoxCallOutcome outcome,
                                    base::Micros now) {
  this->fleet.OnMaintenanceOutcome(command, outcome, now);
  if (outcome == BoxCallOutcome::kFenced)
    this->is_fenced = true;
  if (outcome == BoxCallOutcome::kDone)
    this->ReclaimBox(command.box, now);
}

// All runs on the box have ended once the platform has taken it.
void Scheduler::ReclaimBox(const std::string& box, base::Micros now) {
  const jobs::WorkerIncarnation incarnation = this->fleet.WorkerBeforeCall(box);
  if (!incarnation.empty())
    this->EndIncarnation(incarnation, LossReason::kBoxReclaimed, now);
}

// A long-running task may be interrupted while fewer of the step's other tasks
// are away than its limit allows; a step without a limit always allows it.
bool Scheduler::MayInterrupt(const jobs::TaskId& id, base::Micros now) const {
  const auto job = this->jobs.find(id.job);
  if (job == this->jobs.end() || !HasTask(job->second, PositionOf(id)))
    return true;
  const jobs::Step& step = StepOf(job->second, PositionOf(id));
  if (step.max_unavailable <= 0)
    return true;
  std::int64_t away = 0;
  const StepState& step_state = StepAt(job->second, PositionOf(id));
  for (std::size_t i = 0; i < step_state.tasks.size(); ++i) {
    const bool is_self = static_cast<int>(i) == id.index;
    away += !is_self && !this->IsKnownToServe(step_state.tasks[i], now);
  }
  return away < step.max_unavailable;
}

// Requires a recent report, since the worker may have died after an older one.
bool Scheduler::IsKnownToServe(const Task& task, base::Micros now) const {
  const auto worker = this->workers.find(task.worker);
  return task.is_serving && worker != this->workers.end() &&
         worker->second.failed_calls == 0 &&
         now - worker->second.last_answer_at < kMaxReportAge;
}

// Free capacity of the usable workers, less what interrupted long-running tasks
// will take: stopped ones that have not ended yet, and those that wait.
std::vector<WorkerRoom> Scheduler::RoomBesideInterrupted(
    base::Micros now) const {
  std::vector<WorkerRoom> room;
  for (const auto& [id, worker] : this->workers) {
    if (this->IsUsable(worker, now))
      room.push_back({.worker = &worker, .free = worker.free_capacity()});
  }
  const auto take = [&room](const std::string& pool,
                            const jobs::Resources& taken) {
    const auto fitting =
        std::find_if(room.begin(), room.end(), [&](const WorkerRoom& one) {
          return one.worker->info.service == pool &&
                 jobs::Fits(taken, one.free);
        });
    if (fitting != room.end())
      fitting->free = fitting->free - taken;
  };
  for (const auto& [id, worker] : this->workers) {
    for (const auto& [task, run] : worker.runs) {
      const auto job = this->jobs.find(task.job);
      if (run.is_long_running && run.state == RunState::kStopping &&
          job != this->jobs.end() && !job->second.finished())
        take(job->second.queue.service, run.reserved);
    }
  }
  for (const auto& [service, tasks] : this->ready) {
    for (const ReadyTask& task : tasks) {
      if (task.scheduling_class == SchedulingClass::kInterrupted &&
          TaskAt(*task.job, task.position).state == TaskState::kReady)
        take(service, ReservedBy(StepOf(*task.job, task.position)));
    }
  }
  return room;
}

// A task is only interrupted if another worker has capacity for it. Takes the
// capacity, so that no two tasks are interrupted for the same.
bool Scheduler::TakeRoomElsewhere(const jobs::TaskId& id,
                                  std::vector<WorkerRoom>& room) const {
  const auto found = this->jobs.find(id.job);
  if (found == this->jobs.end() || !HasTask(found->second, PositionOf(id)))
    return true;
  const Job& job = found->second;
  const jobs::Step& step = StepOf(job, PositionOf(id));
  const jobs::Resources takes = ReservedBy(step);
  const auto fitting =
      std::find_if(room.begin(), room.end(), [&](const WorkerRoom& one) {
        return jobs::Fits(takes, one.free) &&
               IsSuitable(*one.worker, job, PositionOf(id));
      });
  if (fitting == room.end())
    return false;
  fitting->free = fitting->free - takes;
  return true;
}

EvacuationStep Scheduler::StopForEvacuation(const std::string& box,
                                            std::vector<WorkerRoom>& room,
                                            base::Micros now) {
  bool stops = false;
  bool waits = false;
  bool is_blocked = false;
  for (auto& [id, worker] : this->workers) {
    if (worker.info.box != box)
      continue;
    for (auto& [task, run] : worker.runs) {
      stops =
          stops || (run.is_long_running && run.state == RunState::kStopping);
      const bool movable = run.is_long_running &&
                           run.state == RunState::kRunning &&
                           this->IsRecorded(task, run);
      if (!movable)
        continue;
      if (!this->MayInterrupt(task, now)) {
        waits = true;
        continue;
      }
      if (!this->TakeRoomElsewhere(task, room)) {
        is_blocked = true;
        continue;
      }
      stops = true;
      // Counts as away at once, before the worker reports its end.
      Job* job = this->FindJob(task.job);
      if (job && HasTask(*job, PositionOf(task)))
        TaskAt(*job, PositionOf(task)).is_serving = false;
      this->Stop(worker, task, now);
    }
  }
  return stops        ? EvacuationStep::kProceeds
         : waits      ? EvacuationStep::kWaits
         : is_blocked ? EvacuationStep::kBlocked
                      : EvacuationStep::kProceeds;
}

BoxCallContext Scheduler::BoxCallContextOf(const std::string& box,
                                           base::Micros now) const {
  BoxCallContext context{.confirmed_ago = now - this->confirmed_at,
                         .last_answer_ago = base::Micros(-1)};
  for (const auto& [id, worker] : this->workers) {
    if (worker.info.box != box)
      continue;
    if (worker.has_reported)
      context.last_answer_ago = now - worker.last_answer_at;
    context.runs_presumed_over = worker.runs_presumed_over;
  }
  return context;
}

void Scheduler::RunFleet(base::Micros now) {
  if (now < this->next_fleet_plan)
    return;
  this->next_fleet_plan = now + kPlanInterval;
  std::optional<std::vector<WorkerRoom>> room;  // read for evacuations only
  for (FleetAction& action : this->fleet.Plan(this->BuildFleetView(now), now)) {
    if (const auto* evacuate = std::get_if<EvacuateBox>(&action)) {
      if (!room)
        room = this->RoomBesideInterrupted(now);
      this->fleet.OnEvacuationStep(
          evacuate->box, this->StopForEvacuation(evacuate->box, *room, now),
          now);
    } else if (auto* move = std::get_if<MoveBox>(&action)) {
      move->context = this->BoxCallContextOf(move->box, now);
      this->actions.emplace_back(std::move(*move));
    } else if (auto* maintenance = std::get_if<MaintainBox>(&action)) {
      maintenance->context = this->BoxCallContextOf(maintenance->box, now);
      this->actions.emplace_back(std::move(*maintenance));
    } else if (const auto* report = std::get_if<ReportWave>(&action)) {
      this->actions.emplace_back(*report);
    }
  }
  if (const auto rested = this->fleet.TakeRestReport(now))
    this->actions.emplace_back(*rested);
}

}  // namespace quartzhoist::scheduler
