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

// An order leaves its queue within this; until then the run counts as leased.
constexpr base::Micros kOrderLeaves = std::chrono::seconds(1);

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
constexpr double kPinnedForLasting = 10.0;
constexpr double kPinnedForOthers = 2.0;
// A worker whose runs crawl.
constexpr double kSlow = 5.0;
// Beside a run that may crash the worker, whatever else has room is better.
constexpr double kBesideSuspect = 3.0;
// Suspects are kept apart, so that a second crash tells the cause from its
// company, and lose as few other runs as can be.
constexpr double kSuspectBesideSuspect = 12.0;
constexpr double kLostWithSuspect = 0.5;
// How full the worker is (0 to 1): the fullest that fits goes first, so that
// others run empty and can move to the pools where work waits.
constexpr double kFullness = -1.0;

bool HasLabel(const WorkerInfo& info, const std::string& label) {
  return label.empty() || std::find(info.labels.begin(), info.labels.end(),
                                    label) != info.labels.end();
}

// What must be free of the quota before a task of the step is placed: the tasks
// of a gang are placed together.
jobs::Resources NeededBy(const jobs::Step& step) {
  if (!step.gang)
    return step.task_resources;
  return {.cpu_millis = step.task_resources.cpu_millis * step.tasks,
          .memory_mb = step.task_resources.memory_mb * step.tasks,
          .gpus = step.task_resources.gpus * step.tasks};
}

std::string TicketFor(const StepRuns& runs,
                      const jobs::WorkerIncarnation& worker) {
  const auto found = runs.advice.tickets.find(worker);
  return found == runs.advice.tickets.end() ? std::string() : found->second;
}

double Fullness(const Worker& worker) {
  const auto& has = worker.info.capacity;
  if (has.cpu_millis <= 0)
    return 1.0;
  return static_cast<double>(worker.used.cpu_millis) /
         static_cast<double>(has.cpu_millis);
}

// Its capacity may have shrunk under what it runs and what is planned.
bool HasRoomForAll(const Worker& worker) {
  return jobs::Fits(jobs::Resources(), worker.room());
}

// Where the placed tasks of a step are. Counted only for steps whose placement
// looks at it: every other task is placed without a walk over its step.
class StepSpread {
 public:
  StepSpread(const jobs::Step& step,
             const StepRuns& runs,
             const std::map<jobs::WorkerIncarnation, Worker>& workers) {
    if (!step.long_running && step.max_per_worker == 0)
      return;
    for (const Task& task : runs.tasks) {
      if (task.state != TaskState::kPlaced)
        continue;
      ++this->on_worker[task.worker];
      const auto worker = workers.find(task.worker);
      if (worker != workers.end())
        ++this->on_rack[worker->second.info.rack];
    }
  }

  int On(const Worker& worker) const {
    return Count(this->on_worker, worker.info.life);
  }
  // On other workers of its rack.
  int Beside(const Worker& worker) const {
    return Count(this->on_rack, worker.info.rack) - this->On(worker);
  }

 private:
  template <typename Name>
  static int Count(const std::map<Name, int>& counts, const Name& name) {
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
  }

  std::map<jobs::WorkerIncarnation, int> on_worker;
  std::map<std::string, int> on_rack;
};

// A worker was lost under the task on this box: it may have been the box's own
// fault, which another box tells.
bool WasLostOn(const jobs::Progress& progress,
               const TaskPlace& place,
               const std::string& box) {
  if (progress.losses.empty())
    return false;
  const auto found = progress.losses.find(KeyOf(place));
  return found != progress.losses.end() &&
         std::any_of(
             found->second.begin(), found->second.end(),
             [&box](const auto& entry) { return entry.second.box == box; });
}

// What speaks for keeping the task and what runs on the worker apart, lest one
// of them crashes the worker.
double CostOfCompany(const Worker& worker, Suspicion suspicion) {
  if (suspicion == Suspicion::kNone)
    return worker.suspects > 0 ? kBesideSuspect : 0.0;
  return kSuspectBesideSuspect * worker.suspects +
         kLostWithSuspect * static_cast<double>(worker.runs.size());
}

// What members of a gang have been given so far, while others are chosen.
struct GangShare {
  jobs::Resources takes;
  int members = 0;
  bool has_probe = false;  // one of them is to start alone
};

// What speaks against a worker of its own, whatever the task: the smallest
// sum wins.
double CostOf(const Worker& worker, base::Micros now) {
  double cost = kFullness * Fullness(worker) + kFailing * worker.failure_rate;
  if (now < worker.slow_until)
    cost += kSlow;
  return cost;
}

}  // namespace

bool Scheduler::Usable(const Worker& worker, base::Micros now) const {
  return worker.listed && worker.recorded && worker.announced &&
         worker.is_described && !worker.is_in_doubt && !worker.info.draining &&
         worker.failed_calls == 0 && now >= worker.quarantined_until &&
         worker.clock_ms > 0 && !this->fleet.IsLeaving(worker.info.box);
}

// A later owner may have renewed a lease that seems to be over here, unless the
// store has confirmed this owner since.
bool Scheduler::MayHaveBeenRenewed(const Job& job,
                                   const TaskPlace& place) const {
  const StepRuns& runs = StepAt(job, place);
  const bool gang = StepOf(job, place).gang;
  for (std::size_t i = 0; i < runs.tasks.size(); ++i) {
    const bool counts = gang || static_cast<int>(i) == place.index;
    if (counts && runs.tasks[i].lease_ended > this->confirmed)
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
      newest = std::max(newest, task.newest_run);
  } else {
    newest = runs.tasks[static_cast<std::size_t>(place.index)].newest_run;
  }
  const auto first =
      static_cast<int>((this->limits.epoch - 1) * kRunsAnEpoch) + 1;
  return std::max(newest + 1, first);
}

void Scheduler::Place(base::Micros now) {
  this->quotas.BeginTurn();
  for (auto& [service, tasks] : this->ready) {
    if (!tasks.empty())
      this->PlacePool(service, tasks, now);
  }
}

void Scheduler::PlacePool(const std::string& service,
                          ReadyTasks& tasks,
                          base::Micros now) {
  // 1. The pool's workers that may take something.
  PoolTurn turn;
  for (auto& [id, worker] : this->workers) {
    if (worker.info.service == service && this->Usable(worker, now))
      turn.candidates.push_back(&worker);
  }
  if (turn.candidates.empty())
    return;
  // 2. Its tasks, by what may still come of them.
  tasks.Try(now, [&](const ReadyTask& task) {
    return this->TryTask(task, turn, now);
  });
}

// Equal tasks of a step that fits nowhere are passed over.
ReadyTasks::Tried Scheduler::TryTask(const ReadyTask& task,
                                     PoolTurn& turn,
                                     base::Micros now) {
  using Tried = ReadyTasks::Tried;
  if (turn.misses >= kMissesATurn)
    return Tried::kStop;
  Job& job = *task.job;
  const bool wanted =
      !job.finished() && TaskAt(job, task.place).state == TaskState::kReady;
  if (!wanted)
    return Tried::kUnwanted;
  const auto step = std::make_pair(&job, task.place.step);
  const auto nowhere = turn.nowhere.find(step);
  if (nowhere != turn.nowhere.end()) {
    TaskAt(job, task.place).waits_for = nowhere->second;
    return Tried::kStays;
  }
  const Suspicion suspicion = this->SuspicionOfStart(job, task.place, now);
  if (suspicion == Suspicion::kCause) {
    this->GiveUpCauses(job, now);
    return Tried::kUnwanted;
  }
  const std::optional<WaitReason> reason =
      this->PlaceOne(task, suspicion, turn.candidates, now);
  if (!reason)
    return Tried::kPlaced;
  TaskAt(job, task.place).waits_for = *reason;
  // What waits for its organisation's quota, or for a worker that runs nothing,
  // holds up nobody else: neither of its step nor of the pool.
  const bool is_its_own =
      *reason == WaitReason::kQuota || *reason == WaitReason::kSuspect;
  if (is_its_own)
    return Tried::kStays;
  turn.nowhere[step] = *reason;
  ++turn.misses;
  return Tried::kStays;
}

// Why it has not been placed; nothing if it has.
std::optional<WaitReason> Scheduler::PlaceOne(
    const ReadyTask& ready_task,
    Suspicion suspicion,
    const std::vector<Worker*>& candidates,
    base::Micros now) {
  Job& job = *ready_task.job;
  const jobs::Step& step = StepOf(job, ready_task.place);
  if (suspicion >= Suspicion::kHeld)
    return WaitReason::kSuspect;
  if (!this->quotas.Allows(job.organisation, NeededBy(step)))
    return WaitReason::kQuota;
  if (this->MayHaveBeenRenewed(job, ready_task.place))
    return WaitReason::kLease;
  if (job.queue.advice.required &&
      !this->HasAdvice(job, ready_task.place, candidates, now))
    return WaitReason::kAdvice;
  const std::vector<Choice> choices =
      this->ChooseFor(job, ready_task.place, candidates, now);
  if (choices.empty() && suspicion == Suspicion::kProbe)
    return WaitReason::kSuspect;
  if (choices.empty())
    return this->SuitsSomeWorker(step) ? WaitReason::kRoom
                                       : WaitReason::kWorker;
  const int run = this->NextRun(job, ready_task.place);
  for (const Choice& choice : choices)
    this->Plan(job, choice, run, now);
  return std::nullopt;
}

// Has any worker, of whatever pool, its label and, empty, room for it? Of boxes
// at rest it is not known.
bool Scheduler::SuitsSomeWorker(const jobs::Step& step) const {
  const bool has_spares =
      std::any_of(this->config.services.begin(), this->config.services.end(),
                  [](const jobs::Service& service) { return service.spare; });
  const jobs::Resources takes = TakenBy(step);
  return has_spares || std::any_of(this->workers.begin(), this->workers.end(),
                                   [&](const auto& entry) {
                                     const WorkerInfo& info = entry.second.info;
                                     return HasLabel(info, step.label) &&
                                            jobs::Fits(takes, info.capacity);
                                   });
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
  const StepSpread spread(step, runs, this->workers);
  std::vector<Choice> choices;
  std::map<const Worker*, GangShare> given;  // to earlier members of the gang
  const int first = step.gang ? 0 : place.index;
  const int last =
      step.gang ? static_cast<int>(runs.tasks.size()) - 1 : place.index;
  for (int i = first; i <= last; ++i) {
    const Task& task = runs.tasks[static_cast<std::size_t>(i)];
    if (task.state != TaskState::kReady)
      continue;
    const TaskPlace member{
        .occurrence = place.occurrence, .step = place.step, .index = i};
    const Suspicion suspicion = this->SuspicionOf(job, member, now);
    const bool alone = suspicion == Suspicion::kProbe;
    const bool waits_for_idle = alone && now - task.ready_since < kWaitForIdle;
    Worker* best = nullptr;
    double best_cost = 0.0;
    for (Worker* worker : candidates) {
      // 1. Room, labels, a ticket, and how many of the step it may hold.
      const auto earlier = given.find(worker);
      const GangShare share =
          earlier == given.end() ? GangShare() : earlier->second;
      const bool fits = jobs::Fits(takes + share.takes, worker->room()) &&
                        HasLabel(worker->info, step.label) &&
                        now >= worker->quarantined_until;
      if (!fits)
        continue;
      // Nothing starts beside a task that is to be alone.
      const bool is_shared = worker->probes > 0 || share.has_probe ||
                             (alone && share.members > 0) ||
                             (waits_for_idle && !worker->idle());
      if (is_shared)
        continue;
      if (job.queue.advice.required &&
          !runs.advice.tickets.contains(worker->info.life))
        continue;
      if (step.max_per_worker > 0 &&
          spread.On(*worker) + share.members >= step.max_per_worker)
        continue;
      // 2. What speaks against it.
      double cost = CostOf(*worker, now) + CostOfCompany(*worker, suspicion);
      if (std::find(task.failed_on.begin(), task.failed_on.end(),
                    worker->info.life) != task.failed_on.end() ||
          WasLostOn(job.progress, member, worker->info.box))
        cost += kFailedHere;
      if (!step.rack.empty() && worker->info.rack != step.rack)
        cost += kOtherRack;
      // A gang is slower over several racks: keep to the first member's.
      if (step.rack_local && !choices.empty() &&
          choices.front().worker->info.rack != worker->info.rack)
        cost += kOtherRack;
      if (step.long_running)
        cost += kSameStepOnRack * spread.Beside(*worker);
      // What lasts pins its box to the pool: few boxes, which then take other
      // work first, so that the rest can move.
      if (worker->lasting > 0)
        cost -= step.long_running ? kPinnedForLasting : kPinnedForOthers;
      if (!best || cost < best_cost) {
        best = worker;
        best_cost = cost;
      }
    }
    if (!best)
      return {};
    if (step.gang) {
      GangShare& share = given[best];
      share.takes = share.takes + takes;
      ++share.members;
      share.has_probe = alone;
    }
    choices.push_back({.place = member, .worker = best});
  }
  return choices;
}

Run Scheduler::RunOf(const Job& job,
                     const jobs::Step& step,
                     int number,
                     RunState state) {
  Run run{.number = number, .state = state};
  run.takes = TakenBy(step);
  run.counts = step.task_resources;
  run.counted = &this->quotas.UseOf(job.organisation);
  run.image = step.image;
  run.lasting = step.long_running;
  run.fills = step.fills;
  run.target_ms = step.target_ms;
  return run;
}

void Scheduler::Plan(Job& job,
                     const Choice& choice,
                     int run_number,
                     base::Micros now) {
  const jobs::Step& step = StepOf(job, choice.place);
  Task& task = TaskAt(job, choice.place);
  Worker& worker = *choice.worker;
  JobStory& story = job.story;
  if (!story.first_placed)
    story.first_placed = now - job.accepted;
  story.longest_wait = std::max(story.longest_wait, now - task.ready_since);
  ++story.runs;
  task.state = TaskState::kPlaced;
  task.worker = worker.info.life;
  task.run = run_number;
  task.newest_run = run_number;
  task.at_work = false;
  Run run = this->RunOf(job, step, run_number, RunState::kPlanned);
  run.since = now;
  run.suspicion = this->SuspicionOf(job, choice.place, now);
  this->NoteLastTry(job, choice.place, run_number);
  const jobs::TaskId id = IdOf(job, choice.place);
  AddRun(worker, id, std::move(run));
  job.progress.placed[KeyOf(choice.place)] = {.worker = worker.info.life,
                                              .run = run_number};
  this->Changed(job);
  this->save_now = true;
  job.pending_starts.push_back(
      {.place = choice.place, .run = run_number, .change = job.change});
}

void Scheduler::StartSaved(Job& job, base::Micros now) {
  std::vector<PendingStart> later;
  for (const PendingStart& start : std::exchange(job.pending_starts, {})) {
    if (start.change > job.saved_change) {
      later.push_back(start);
      continue;
    }
    const Task& task = TaskAt(job, start.place);
    const auto found = this->workers.find(task.worker);
    if (task.state != TaskState::kPlaced || task.run != start.run ||
        found == this->workers.end())
      continue;
    Worker& worker = found->second;
    const jobs::TaskId id = IdOf(job, start.place);
    const auto run = worker.runs.find(id);
    if (run == worker.runs.end() || run->second.state != RunState::kPlanned)
      continue;
    // The worker may have drained, died or lost room since the plan.
    if (!this->Usable(worker, now) || !HasRoomForAll(worker)) {
      RemoveRun(worker, id);
      this->TaskLost(id, start.run, now);
      continue;
    }
    run->second.state = RunState::kStarting;
    run->second.since = now;
    // Its order grants a lease when it is sent, in a moment.
    worker.lease_end = std::max(worker.lease_end, now + kOrderLeaves);
    worker.next_look = std::min(worker.next_look, now);
    const bool resumes = StepOf(job, start.place).checkpoints;
    this->actions.emplace_back(
        StartRun{.worker = worker.info.life,
                 .task = id,
                 .run = start.run,
                 .text = job.spec.text,
                 .checkpoint = resumes ? task.checkpoint : std::string(),
                 .ticket = TicketFor(StepAt(job, start.place), task.worker)});
  }
  job.pending_starts = std::move(later);
}

}  // namespace quartzhoist::scheduler
