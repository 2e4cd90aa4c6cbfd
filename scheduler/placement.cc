// Which ready task starts next, and on which worker.

#include <algorithm>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "scheduler/scheduler.h"

namespace quartzhoist::scheduler {

namespace {

// After so many tasks in a row that fit nowhere the rest of the pool's queue
// waits for the next turn: bounds a turn under overload.
constexpr int kMissesATurn = 24;

// A later owner's runs are numbered above every earlier owner's, which started
// fewer runs of one task than this.
constexpr std::uint64_t kRunsAnEpoch = 1000;

// Weights of a worker's cost for a task; the smallest sum wins. A task that
// failed there goes elsewhere if anything else has room.
constexpr double kFailedHere = 100.0;
// The data lies on another rack: it takes longer there.
constexpr double kOtherRack = 4.0;
// Another task of the same lasting step sits on the rack: a lost rack is to
// take few of them.
constexpr double kSameStepOnRack = 3.0;
// A worker that has failed runs lately, times its failure rate.
constexpr double kFailing = 6.0;
// How full the worker is (0 to 1): the emptiest goes first.
constexpr double kFullness = 1.0;

bool HasLabel(const WorkerInfo& info, const std::string& label) {
  return label.empty() || std::find(info.labels.begin(), info.labels.end(),
                                    label) != info.labels.end();
}

jobs::Resources TakenBy(const jobs::Step& step) {
  jobs::Resources takes = step.each;
  // What fills uses only processor time that is left over.
  if (step.fills)
    takes.cpu_millis = 0;
  return takes;
}

double Fullness(const Worker& worker) {
  const auto& has = worker.info.capacity;
  if (has.cpu_millis <= 0)
    return 1.0;
  return static_cast<double>(worker.used.cpu_millis) /
         static_cast<double>(has.cpu_millis);
}

// Tasks of the step on this worker, and on others of its rack.
struct Neighbours {
  int here = 0;
  int on_rack = 0;
};

Neighbours NeighboursOf(const StepRuns& runs,
                        const Worker& worker,
                        const std::map<std::string, Worker>& workers) {
  Neighbours found;
  for (const Task& task : runs.tasks) {
    if (task.state != TaskState::kPlaced)
      continue;
    if (task.worker == worker.info.id) {
      ++found.here;
      continue;
    }
    const auto other = workers.find(task.worker);
    found.on_rack += other != workers.end() &&
                     other->second.info.rack == worker.info.rack;
  }
  return found;
}

}  // namespace

bool Scheduler::Usable(const Worker& worker, base::Micros now) const {
  return worker.listed && worker.recorded && worker.announced &&
         !worker.info.draining && worker.failed_calls == 0 &&
         now >= worker.quarantined_until && worker.clock_ms > 0 &&
         !this->fleet.IsLeaving(worker.info.box);
}

// Could an earlier owner have started the job's tasks on a worker that has not
// been listed yet? Its leases are over in the end.
bool Scheduler::MayRunElsewhere(const Job& job, base::Micros now) const {
  if (!job.inherited)
    return false;
  for (const auto& [id, worker] : this->workers) {
    if (!worker.listed && worker.recorded && now <= worker.lease_end)
      return true;
  }
  return false;
}

int Scheduler::NextRun(const Job& job, const TaskPlace& place) const {
  const StepRuns& runs = StepAt(job, place);
  int newest = 0;
  // The members of a gang share the number.
  if (StepOf(job, place).gang) {
    for (const Task& task : runs.tasks)
      newest = std::max(newest, task.run);
  } else {
    newest = runs.tasks[static_cast<std::size_t>(place.index)].run;
  }
  const auto first =
      static_cast<int>((this->limits.epoch - 1) * kRunsAnEpoch) + 1;
  return std::max(newest + 1, first);
}

void Scheduler::Place(base::Micros now) {
  for (auto& [service, tasks] : this->ready) {
    if (!tasks.empty())
      this->PlacePool(service, tasks, now);
  }
}

void Scheduler::PlacePool(const std::string& service,
                          ReadySet& tasks,
                          base::Micros now) {
  // 1. The pool's workers that may take something.
  std::vector<Worker*> candidates;
  for (auto& [id, worker] : this->workers) {
    if (worker.info.service == service && this->Usable(worker, now))
      candidates.push_back(&worker);
  }
  if (candidates.empty())
    return;
  // 2. By priority; within one, what can still be in time goes first.
  std::vector<ReadyTask> order;
  std::vector<ReadyTask> late;
  int priority = tasks.begin()->priority;
  const auto flush_late = [&order, &late] {
    order.insert(order.end(), late.begin(), late.end());
    late.clear();
  };
  for (const ReadyTask& task : tasks) {
    if (task.priority != priority) {
      flush_late();
      priority = task.priority;
    }
    const Job* job = this->FindJob(task.job);
    const bool lasting = job && StepOf(*job, task.place).lasting;
    if (task.objective < now && !lasting)
      late.push_back(task);
    else
      order.push_back(task);
  }
  flush_late();
  // 3. One by one; equal tasks of a step that fits nowhere are passed over.
  std::set<std::pair<std::string, int>> nowhere;
  int misses = 0;
  for (const ReadyTask& task : order) {
    if (misses >= kMissesATurn)
      break;
    Job* job = this->FindJob(task.job);
    const bool wanted = job && !job->finished() &&
                        TaskAt(*job, task.place).state == TaskState::kReady;
    if (!wanted) {
      tasks.erase(task);
      continue;
    }
    const auto step = std::make_pair(task.job, task.place.step);
    if (nowhere.contains(step))
      continue;
    if (this->PlaceOne(task, candidates, now)) {
      tasks.erase(task);
    } else {
      nowhere.insert(step);
      ++misses;
    }
  }
}

bool Scheduler::PlaceOne(const ReadyTask& ready_task,
                         const std::vector<Worker*>& candidates,
                         base::Micros now) {
  Job& job = *this->FindJob(ready_task.job);
  if (this->MayRunElsewhere(job, now))
    return false;
  const std::vector<Choice> choices =
      this->ChooseFor(job, ready_task.place, candidates, now);
  if (choices.empty())
    return false;
  const int run = this->NextRun(job, ready_task.place);
  for (const Choice& choice : choices)
    this->Start(job, choice, run, now);
  return true;
}

// One worker for a task, or one for each member of a gang; nothing if it, or
// any member, fits nowhere.
std::vector<Scheduler::Choice> Scheduler::ChooseFor(
    const Job& job,
    const TaskPlace& place,
    const std::vector<Worker*>& candidates,
    base::Micros now) const {
  const jobs::Step& step = StepOf(job, place);
  const StepRuns& runs = StepAt(job, place);
  const jobs::Resources takes = TakenBy(step);
  std::vector<Choice> choices;
  // Room and neighbours that earlier members of the gang have taken.
  std::map<const Worker*, jobs::Resources> taken;
  std::map<const Worker*, int> members;
  const int first = step.gang ? 0 : place.index;
  const int last =
      step.gang ? static_cast<int>(runs.tasks.size()) - 1 : place.index;
  for (int i = first; i <= last; ++i) {
    const Task& task = runs.tasks[static_cast<std::size_t>(i)];
    if (task.state != TaskState::kReady)
      continue;
    Worker* best = nullptr;
    double best_cost = 0.0;
    for (Worker* worker : candidates) {
      const bool fits =
          jobs::Fits(takes + taken[worker], worker->room()) &&
          HasLabel(worker->info, step.label) && now >= worker->quarantined_until;
      if (!fits)
        continue;
      const Neighbours near = NeighboursOf(runs, *worker, this->workers);
      const int here = near.here + members[worker];
      if (step.most_per_worker > 0 && here >= step.most_per_worker)
        continue;
      // A gang is slower over several racks: keep to the first member's.
      double cost = kFullness * Fullness(*worker);
      cost += kFailing * worker->failure_rate;
      if (std::find(task.failed_on.begin(), task.failed_on.end(),
                    worker->info.id) != task.failed_on.end())
        cost += kFailedHere;
      if (!step.rack.empty() && worker->info.rack != step.rack)
        cost += kOtherRack;
      if (step.one_rack && !choices.empty() &&
          choices.front().worker->info.rack != worker->info.rack)
        cost += kOtherRack;
      if (step.lasting)
        cost += kSameStepOnRack * near.on_rack;
      if (!best || cost < best_cost) {
        best = worker;
        best_cost = cost;
      }
    }
    if (!best)
      return {};
    taken[best] = taken[best] + takes;
    ++members[best];
    choices.push_back({.place = {.occurrence = place.occurrence,
                                 .step = place.step,
                                 .index = i},
                       .worker = best});
  }
  return choices;
}

void Scheduler::Start(Job& job,
                      const Choice& choice,
                      int run_number,
                      base::Micros now) {
  const jobs::Step& step = StepOf(job, choice.place);
  Task& task = TaskAt(job, choice.place);
  Worker& worker = *choice.worker;
  task.state = TaskState::kPlaced;
  task.worker = worker.info.id;
  task.run = run_number;
  task.at_work = false;
  job.begun = true;
  Run run{.number = run_number, .state = RunState::kStarting};
  run.takes = TakenBy(step);
  run.image = step.image;
  run.since = now;
  run.lasting = step.lasting;
  run.fills = step.fills;
  run.target_ms = step.target_ms;
  const jobs::TaskId id = IdOf(job, choice.place);
  AddRun(worker, id, std::move(run));
  worker.next_look = std::min(worker.next_look, now);
  this->actions.emplace_back(StartRun{
      .worker = worker.info.id,
      .task = id,
      .run = run_number,
      .text = job.spec.text,
      .checkpoint = step.checkpoints ? task.checkpoint : std::string()});
}

}  // namespace quartzhoist::scheduler
