// An in-memory world around schedulers: a store with versions, workers with
// leases and fencing, and messages that get lost, come late or overtake one
// another; several owners may act at once. It judges what the workers see.

#ifndef TESTING_SCHEDULER_MODEL_H_
#define TESTING_SCHEDULER_MODEL_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "scheduler/scheduler.h"

namespace quartzhoist::testing {

// Odds are of one message or step.
struct ModelFaults {
  double lost_answer = 0.0;  // the order is carried out, its answer lost
  double lost_order = 0.0;   // the order never arrives
  double late_order = 0.0;   // carried out 2 to 6 s later, never answered
  double lost_save = 0.0;    // a save is made, its answer lost
  double late_save = 0.0;    // made 1 to 4 s later if it still fits
  // The part of the store with a job's row falls silent for 1 to 6 s, a second:
  // of the saves meanwhile half are lost, half are made once it is back.
  double part_away = 0.0;
  double crash = 0.0;  // a worker's life ends, a second
  // A worker starts again under its id 20 to 1500 ms later, and knows nothing
  // of before; owners hear of it 20 to 1500 ms after that. A second.
  double restart = 0.0;
  double cut = 0.0;  // a worker is cut from an owner, a second
  // A job was handed in while a new owner read what is kept: it hears of it 20
  // to 600 ms later. Per job and takeover.
  double late_job = 0.0;
  double takeover = 0.0;  // a new owner comes, the old one lives on, a second
  double freeze = 0.0;    // an owner stands still for 1 to 6 s, a second
  double failing_run = 0.0;  // a run fails
  // A worker's capacity shrinks to a part, and is back 1 to 6 s later; owners
  // hear of each change 20 to 1500 ms after it. A second.
  double shrink = 0.0;
  // An owner stands still for 1 to 6 s right before a call for a box leaves,
  // after its last look at whether it may: it leaves when the owner wakes.
  double held_call = 0.0;
  // A call for a box is carried out 2 to 6 s later, and never answered.
  double late_call = 0.0;
};

struct ModelJob {
  std::string id;
  jobs::JobSpec spec;
  int attempts = 3;
  std::string service = "pool";
  // Tasks that end the life of each worker that starts them, so long after the
  // start. Another life comes on the box.
  std::set<scheduler::TaskPlace> crashing;
  base::Micros crash_after = std::chrono::milliseconds(10);
};

// Of each worker, while it has not shrunk.
inline constexpr jobs::Resources kCapacity{.cpu_millis = 4000,
                                           .memory_mb = 4000,
                                           .gpus = 0};

// Workers cut any grant to this, on their own clocks.
inline constexpr base::Micros kLongestLease = std::chrono::milliseconds(8000);

// A box is away for so long.
inline constexpr base::Micros kMoveTime = std::chrono::milliseconds(1500);
inline constexpr base::Micros kUpkeepTime = std::chrono::milliseconds(2000);

class SchedulerModel {
 public:
  SchedulerModel(std::uint64_t seed,
                 const ModelFaults& faults,
                 int workers,
                 const std::vector<ModelJob>& jobs);

  void RunFor(base::Micros span);
  // No further faults; what is cut is joined, what is frozen thaws.
  void Heal();
  void Cancel(const std::string& job);
  // Every worker that runs a task of the job falls silent for good: nothing
  // says that its life is over. Another comes for each.
  void Darken(const std::string& job);
  // The owner is confirmed no more; after the silence a new one comes.
  void TakeOver();
  // Every box is due for its upkeep, so many at a time.
  void BeginWave(int most_at_once);
  // Boxes that have had it.
  int UpkeepsDone() const;

  // What broke a promise, in words; empty: nothing.
  const std::vector<std::string>& broken() const { return this->faults_found; }
  // What the owners and workers did last, for a failing test.
  std::string History() const;
  // The recorded state of a job.
  jobs::JobState StateOf(const std::string& job) const;
  // Tasks of the job that run now.
  int RunningTasks(const std::string& job) const;
  // Tasks of the job under which two workers or more have crashed.
  int TasksThatMayBeGivenUp(const std::string& job) const;
  int starts() const { return this->start_count; }
  // Lives that crashing tasks have ended.
  int crashed_workers() const { return this->crash_count; }
  int takeovers() const { return static_cast<int>(this->owners.size()) - 1; }

 private:
  struct WorkerRun {
    int number = 0;
    base::Micros ends{};  // when its work is done
    bool fails = false;
    bool stopping = false;  // it still takes its room, and is not listed
  };
  struct Worker {
    std::string id;
    std::string box;
    jobs::Resources capacity;
    jobs::Resources earlier_capacity;  // before the newest change
    base::Micros capacity_changed{};
    bool alive = true;
    bool dark = false;  // dead, and nothing answers in its place
    // Dead, and its box is back with another life from then on.
    std::optional<base::Micros> reborn_at;
    std::int64_t born_ms = 0;  // the start of this life
    // Dead, and it starts again under its id soon.
    bool restarting = false;
    bool announced = true;
    double clock_rate = 1.0;  // up to 2% slow
    base::Micros clock_offset{};
    std::uint64_t epoch = 0;  // highest seen
    base::Micros deadline{};  // on its own clock
    std::map<jobs::TaskId, WorkerRun> running;
    std::map<jobs::TaskId, int> over;  // highest run that ended or was stopped
    std::vector<scheduler::ListedEnd> ends;
    std::int64_t last_number = 0;
    std::int64_t acknowledged = 0;
  };
  struct StoredJob {
    ModelJob job;
    std::string progress;
    std::uint64_t version = 0;
    std::uint64_t first_version = 0;  // as it was handed in
    bool cancelled = false;
    base::Micros away_until{};            // its row's part of the store
    std::set<scheduler::TaskPlace> done;  // noted ends, as workers saw them
    std::map<scheduler::TaskPlace, int> failed;   // noted
    std::set<scheduler::TaskPlace> ever_done;     // ended as done, noted or not
    std::map<scheduler::TaskPlace, int> crashes;  // of workers that started it
    std::map<scheduler::TaskPlace, int> starts_since_third_crash;
    // Lives that ended without an order while it ran there, whatever the cause.
    std::map<scheduler::TaskPlace, int> lost_workers;
  };
  // A box, and when it is back from its move or upkeep.
  struct Box {
    std::string pool;
    scheduler::BoxState state = scheduler::BoxState::kUp;
    base::Micros back{};
    std::uint64_t epoch = 0;  // highest seen
    bool had_upkeep = false;
  };
  // A lasting task, as the rule on what may be away sees it.
  struct Presence {
    base::Micros last_at_work{};
    bool is_away_by_order = false;
  };
  struct Owner {
    std::unique_ptr<scheduler::Scheduler> scheduler;
    std::uint64_t epoch = 0;
    base::Micros frozen_until{};
    base::Micros certain_until{};
    base::Micros next_list{};
    std::set<std::string> cut_from;  // workers
    bool gone = false;
  };
  struct Event {
    base::Micros at{};
    std::uint64_t order = 0;
    std::function<void()> action;
  };

  bool Chance(double odds);
  base::Micros Between(std::int64_t least_ms, std::int64_t most_ms);
  void After(base::Micros delay, std::function<void()> action);
  void Step();
  void Disturb();
  void AddWorker(const std::string& box);
  // On a box of its own.
  void AddBox(const std::string& pool);
  scheduler::WorkerInfo InfoOf(const Worker& worker) const;
  void Confirm();
  void Succeed();
  // boxes
  void ReturnBoxes();
  void ListBoxes(std::size_t owner);
  void TellWave(scheduler::Scheduler& owner) const;
  void ForgetSettledCalls();
  void Record(std::size_t owner, const scheduler::BoxCall& call);
  void Call(std::size_t owner, const scheduler::BoxCall& call);
  void CarryOut(std::size_t owner,
                const scheduler::BoxCall& call,
                bool is_answered);
  scheduler::BoxCallOutcome Move(const scheduler::MoveBox& call);
  scheduler::BoxCallOutcome Upkeep(const scheduler::UpkeepBox& call);
  void Answer(std::size_t owner,
              const scheduler::BoxCall& call,
              scheduler::BoxCallOutcome outcome);
  void Take(const std::string& box,
            scheduler::BoxState state,
            base::Micros span);
  void JudgeAway(const jobs::TaskId& task, const std::string& by);
  void NotePresence();
  void RecordListed(Owner& owner);
  scheduler::Job Make(const std::string& id, jobs::Progress progress) const;
  // The feed brings a job as it was handed in.
  void BringJob(std::size_t owner, const std::string& id);
  void ReadJob(std::size_t owner, const std::string& id);
  void Act(std::size_t owner);
  void Carry(std::size_t owner, const scheduler::Action& action);
  void SendStart(std::size_t owner, const scheduler::StartRun& order);
  void SendStop(std::size_t owner, const scheduler::StopRun& order);
  void SendLook(std::size_t owner, const scheduler::LookAt& order);
  void Save(std::size_t owner, const scheduler::SaveProgress& save);
  void Deliver(std::size_t owner,
               const std::string& worker,
               const std::function<scheduler::OrderOutcome(Worker&)>& carry_out,
               const std::function<void(scheduler::OrderOutcome)>& answer);
  scheduler::OrderOutcome BeginRun(Worker& worker,
                                   const scheduler::StartRun& order,
                                   std::uint64_t epoch,
                                   base::Micros deadline);
  void JudgeStart(const Worker& worker, const scheduler::StartRun& order);
  void JudgeCrashes(const scheduler::StartRun& order);
  void CrashLater(const Worker& worker, const scheduler::StartRun& order);
  void EndLife(Worker& worker);
  void CountLosses(const Worker& worker);
  void Restart(Worker& worker);
  void BeginNextLife(Worker& worker);
  void ChangeCapacity(const std::string& id, const jobs::Resources& capacity);
  void EndRun(Worker& worker, const jobs::TaskId& task, scheduler::RunEnd how);
  void WorkOn(Worker& worker);
  void Note(Worker& worker, std::int64_t acknowledged);
  // A start or a look grants a lease.
  void Grant(Worker& worker, base::Micros deadline) const;
  base::Micros ClockOf(const Worker& worker) const;
  scheduler::Listing ListingOf(const Worker& worker) const;
  void Broke(const std::string& what);
  void Record(const std::string& what);

  std::mt19937_64 random;
  ModelFaults faults;
  base::Micros now = std::chrono::seconds(100);
  std::map<std::string, Worker> workers;
  // The stored list of workers that may hold a lease: until when, if the owner
  // has not listed them.
  struct Lease {
    jobs::WorkerIncarnation life;
    std::optional<base::Micros> until;
  };
  std::map<std::string, Lease> leases;
  std::map<std::string, StoredJob> jobs;
  std::vector<Owner> owners;
  std::vector<Event> events;
  std::uint64_t event_count = 0;
  std::uint64_t version = 1;
  std::map<std::string, Box> boxes;
  int wave_most = 0;  // 0: no wave
  // The row of calls for boxes: the owner that claimed it, and what it holds.
  std::uint64_t calls_epoch = 0;
  std::map<std::string, scheduler::BoxCall> calls;
  std::map<jobs::TaskId, Presence> lasting;
  bool is_confirming = true;  // the newest owner
  base::Micros last_confirmed{};
  int worker_lives = 0;
  int start_count = 0;
  int crash_count = 0;
  std::vector<std::string> faults_found;
  std::deque<std::string> history;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_SCHEDULER_MODEL_H_
