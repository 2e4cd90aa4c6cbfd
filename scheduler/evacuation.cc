// What the fleet's plan sees of the pools, and how boxes are emptied for it.

#include <algorithm>
#include <utility>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// How often the fleet is planned anew. A plan each 100 ms was not told apart
// from this in 20 days with trouble (49 workers).
constexpr base::Micros kFleetPeriod = milliseconds(250);

// A listing older than this says nothing of a lasting task: above the wait of
// a look (2 s), below the time after which a silent task counts as away on the
// sites (4.5 s).
constexpr base::Micros kSeenLately = milliseconds(3000);

// The need counts the slope of what is handed in so many times. Of the work of
// ten days with trouble, weighted by its value, 80.4% was in time with 4 and
// 78.8% with 2 (49 workers); of six such days 85.0% and 84.4% (350 workers).
constexpr double kSlopeWeight = 4.0;

// A task that has waited for so long fits on no box that its pool has: memory
// or the tasks that may not share a box are in the way. Longer than a turn and
// a plan of the fleet (0.3 s); lasting tasks are to run again within 6 s.
constexpr base::Micros kStuck = milliseconds(1000);
// A pool whose work takes more of its cores than this is short of cores, and
// gets boxes for that (kFill of fleet.cc, less some slack).
constexpr double kCoresTaken = 0.7;

// Is it work that boxes could take up, or have?
bool CountsAsDemand(const Task& task) {
  return task.state == TaskState::kPlaced ||
         (task.state == TaskState::kReady && IsServedByBoxes(task.waits_for));
}

}  // namespace

FleetView Scheduler::ViewFleet(base::Micros now) {
  FleetView view;
  std::map<std::string, std::map<int, PoolNeed>> needs;
  for (const auto& [id, worker] : this->workers) {
    FleetBox box;
    box.name = worker.info.box;
    box.pool = worker.info.service;
    box.worker = id;
    // A lease that ran out in these books may have been renewed by another
    // owner: only an answer says that the box is empty.
    box.up = worker.announced && worker.is_described && worker.listed &&
             !worker.info.draining && !worker.runs_presumed_over;
    box.idle = worker.idle();
    box.cores = static_cast<double>(worker.info.capacity.cpu_millis) / 1000.0;
    box.busy_cores = static_cast<double>(worker.used.cpu_millis) / 1000.0;
    box.lasting = worker.lasting;
    for (const auto& [task, run] : worker.runs) {
      needs[box.pool][this->PriorityOf(task)].now_cores +=
          static_cast<double>(run.takes.cpu_millis) / 1000.0;
    }
    view.boxes.push_back(std::move(box));
  }
  for (const auto& [service, tasks] : this->ready) {
    for (const ReadyTask& task : tasks) {
      const jobs::Step& step = StepOf(*task.job, task.place);
      if (!step.fills && CountsAsDemand(TaskAt(*task.job, task.place)))
        needs[service][task.priority].now_cores +=
            static_cast<double>(step.task_resources.cpu_millis) / 1000.0;
    }
  }
  for (const jobs::Queue& queue : this->config.queues) {
    const double slope = std::max(0.0, this->demand.Slope(queue.name, now));
    needs[queue.service][queue.priority].soon_cores += kSlopeWeight * slope;
  }
  std::map<std::string, int> least = this->LeastBoxes();
  this->AddForStuckTasks(now, view, least);
  for (const jobs::Service& service : this->config.services) {
    view.pools.push_back({.name = service.name,
                          .spare = service.spare,
                          .needs = needs[service.name],
                          .least_boxes = least[service.name]});
  }
  return view;
}

// Lasting tasks that may not share a box need as many boxes at any time. (A box
// that is emptied for a wave does not count as one of them.)
std::map<std::string, int> Scheduler::LeastBoxes() const {
  std::map<std::string, int> least;
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
        const std::int64_t most = step.max_per_worker;
        const std::int64_t boxes = most > 0 ? (tasks + most - 1) / most
                                            : std::min<std::int64_t>(tasks, 1);
        int& known = least[job.queue.service];
        known = std::max(known, static_cast<int>(boxes));
      }
    }
  }
  return least;
}

bool Scheduler::IsStuck(const ReadyTask& task,
                        bool has_cores,
                        base::Micros now) const {
  const Task& waiting = TaskAt(*task.job, task.place);
  return waiting.state == TaskState::kReady &&
         waiting.waits_for == WaitReason::kRoom &&
         now - waiting.ready_since > kStuck &&
         (task.prospect == Prospect::kLasting || has_cores);
}

// Cores alone do not show that a pool needs a box when its boxes are full of
// something else: it gets one more than it has.
void Scheduler::AddForStuckTasks(base::Micros now,
                                 const FleetView& view,
                                 std::map<std::string, int>& least) {
  std::map<std::string, int> idle;
  for (const auto& [life, worker] : this->workers)
    idle[worker.info.service] += worker.idle() && this->Usable(worker, now);
  for (const auto& [service, tasks] : this->ready) {
    int boxes = 0;
    double cores = 0.0;
    double taken = 0.0;
    for (const FleetBox& box : view.boxes) {
      if (box.pool != service || !box.up)
        continue;
      ++boxes;
      cores += box.cores;
      taken += box.busy_cores;
    }
    const bool has_cores = taken < kCoresTaken * cores;
    const bool is_stuck =
        std::any_of(tasks.begin(), tasks.end(), [&](const ReadyTask& task) {
          return this->IsStuck(task, has_cores, now);
        });
    if (!is_stuck) {
      this->box_requests.Forget(service);
      continue;
    }
    const int asked =
        this->box_requests.Ask(service, boxes, idle[service], now);
    least[service] = std::max(least[service], asked);
  }
}

int Scheduler::PriorityOf(const jobs::TaskId& task) const {
  const auto job = this->jobs.find(task.job);
  return job == this->jobs.end() ? 0 : job->second.queue.priority;
}

void Scheduler::SetWave(const Wave& wave,
                        const std::vector<std::string>& begun,
                        base::Micros now) {
  this->fleet.SetWave(wave, begun, now);
  for (const auto& [id, worker] : this->workers) {
    if (worker.listed)
      this->fleet.BoxAnswered(worker.info.box);
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

void Scheduler::Moved(const MoveBox& order,
                      BoxCallOutcome outcome,
                      base::Micros now) {
  this->fleet.Moved(order, outcome, now);
  if (outcome == BoxCallOutcome::kFenced)
    this->is_fenced = true;
  if (outcome == BoxCallOutcome::kDone)
    this->BoxTaken(order.box, now);
}

void Scheduler::UpkeepBegun(const UpkeepBox& order,
                            BoxCallOutcome outcome,
                            base::Micros now) {
  this->fleet.UpkeepBegun(order, outcome, now);
  if (outcome == BoxCallOutcome::kFenced)
    this->is_fenced = true;
  if (outcome == BoxCallOutcome::kDone)
    this->BoxTaken(order.box, now);
}

// All that ran on the box is over once the platform has taken it.
void Scheduler::BoxTaken(const std::string& box, base::Micros now) {
  const jobs::WorkerIncarnation life = this->fleet.LifeBefore(box);
  if (!life.empty())
    this->LifeIsOver(life, LossSign::kBoxTaken, now);
}

// A lasting task may be interrupted while every other one of its step is at
// work, or fewer are away than its limit allows.
bool Scheduler::MayInterrupt(const jobs::TaskId& id, base::Micros now) const {
  const auto job = this->jobs.find(id.job);
  if (job == this->jobs.end() || !Exists(job->second, PlaceOf(id)))
    return true;
  const jobs::Step& step = StepOf(job->second, PlaceOf(id));
  if (step.max_unavailable <= 0)
    return true;
  std::int64_t away = 0;
  const StepRuns& runs = StepAt(job->second, PlaceOf(id));
  for (std::size_t i = 0; i < runs.tasks.size(); ++i) {
    const bool itself = static_cast<int>(i) == id.index;
    away += !itself && !this->IsSeenAtWork(runs.tasks[i], now);
  }
  return away < step.max_unavailable;
}

// At work by a recent listing: its worker may have died since an older one.
bool Scheduler::IsSeenAtWork(const Task& task, base::Micros now) const {
  const auto worker = this->workers.find(task.worker);
  return task.at_work && worker != this->workers.end() &&
         worker->second.failed_calls == 0 &&
         now - worker->second.last_answer < kSeenLately;
}

// A task is not interrupted for nothing: another worker must have room for it.
bool Scheduler::HasPlaceElsewhere(const jobs::TaskId& id, base::Micros now) {
  const Job* job = this->FindJob(id.job);
  if (!job || !Exists(*job, PlaceOf(id)))
    return true;
  const jobs::Resources takes = TakenBy(StepOf(*job, PlaceOf(id)));
  const StepRuns& runs = StepAt(*job, PlaceOf(id));
  const std::int64_t most = StepOf(*job, PlaceOf(id)).max_per_worker;
  return std::any_of(
      this->workers.begin(), this->workers.end(), [&](const auto& entry) {
        const Worker& worker = entry.second;
        const auto here = std::count_if(
            runs.tasks.begin(), runs.tasks.end(), [&](const Task& task) {
              return task.state == TaskState::kPlaced &&
                     task.worker == entry.first;
            });
        return worker.info.service == job->queue.service &&
               this->Usable(worker, now) && jobs::Fits(takes, worker.room()) &&
               (most == 0 || here < most);
      });
}

void Scheduler::StopForEvacuation(const std::string& box, base::Micros now) {
  for (auto& [id, worker] : this->workers) {
    if (worker.info.box != box)
      continue;
    for (auto& [task, run] : worker.runs) {
      const bool movable = run.lasting && run.state == RunState::kRunning;
      if (!movable || !this->MayInterrupt(task, now) ||
          !this->HasPlaceElsewhere(task, now))
        continue;
      // It is away from here on, before its end is listed.
      Job* job = this->FindJob(task.job);
      if (job && Exists(*job, PlaceOf(task)))
        TaskAt(*job, PlaceOf(task)).at_work = false;
      this->Stop(worker, task, now);
    }
  }
}

BoxEvidence Scheduler::EvidenceOf(const std::string& box,
                                  base::Micros now) const {
  BoxEvidence evidence{.confirmed_ago = now - this->confirmed,
                       .heard_ago = base::Micros(-1)};
  for (const auto& [id, worker] : this->workers) {
    if (worker.info.box != box)
      continue;
    if (worker.listed)
      evidence.heard_ago = now - worker.last_answer;
    evidence.runs_presumed_over = worker.runs_presumed_over;
  }
  return evidence;
}

void Scheduler::RunFleet(base::Micros now) {
  if (now < this->next_fleet)
    return;
  this->next_fleet = now + kFleetPeriod;
  for (FleetStep& step : this->fleet.Plan(this->ViewFleet(now), now)) {
    if (const auto* evacuate = std::get_if<Evacuate>(&step)) {
      this->StopForEvacuation(evacuate->box, now);
    } else if (auto* move = std::get_if<MoveBox>(&step)) {
      move->evidence = this->EvidenceOf(move->box, now);
      this->actions.emplace_back(std::move(*move));
    } else if (auto* upkeep = std::get_if<UpkeepBox>(&step)) {
      upkeep->evidence = this->EvidenceOf(upkeep->box, now);
      this->actions.emplace_back(std::move(*upkeep));
    } else if (const auto* report = std::get_if<ReportWave>(&step)) {
      this->actions.emplace_back(*report);
    }
  }
}

}  // namespace quartzhoist::scheduler
