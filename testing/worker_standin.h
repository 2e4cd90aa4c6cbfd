// Workers as the platform's pages describe them, in memory on loopback ports:
// leases, fencing, runs and their ends; and the service that moves and
// maintains their boxes. Judges what it sees: runs of one task that overlap,
// starts after an end that was noted, starts beyond the room.

#ifndef TESTING_WORKER_STANDIN_H_
#define TESTING_WORKER_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/loop.h"
#include "http/server.h"
#include "testing/store_standin.h"

namespace quartzhoist::testing {

class WorkerStandins {
 public:
  WorkerStandins(base::Loop& loop, StoreStandin& store);

  // A box in this pool, with a life that announces itself.
  void AddBox(const std::string& box,
              const std::string& pool,
              const std::string& zone = "z");
  // The life ends at once, without a word; another comes on the same box.
  void Crash(const std::string& box);
  // The life ends at once, without a word, and none comes on the box.
  void Lose(const std::string& box);
  // The boxes on which a task of the job runs.
  std::set<std::string> BoxesWith(const std::string& job) const;
  // The same, and the next life has the id of this one.
  void Restart(const std::string& box);
  // The same, at the same address, and the next life announces nothing before
  // AnnounceAgain().
  void RestartUnannounced(const std::string& box);
  void AnnounceAgain(const std::string& box);
  // The life ends without a word: its entry stays for three heartbeats, and
  // the box is down for this long.
  void Lose(const std::string& box, base::Micros span);
  // Calls to the life have no effect and no answer, while it works on.
  void SetCut(const std::string& box, bool is_cut);
  void SetRunTime(base::Micros span) { this->run_time = span; }
  // Capacity of boxes added from now on, in thousandths of a core.
  void SetCores(std::int64_t cpu) { this->cores = cpu; }
  void SetAwayTime(base::Micros span) { this->away_time = span; }
  // Boxes and their lives refuse what comes under an earlier epoch. Else they
  // carry it out, and it counts as a broken promise.
  void CheckEpochs() { this->checks_epochs = true; }

  enum class BoxMood {
    kWell,
    kBusy,          // 503: nothing is done
    kLosesAnswers,  // moves and upkeeps are done, their connection is cut
  };
  void SetBoxMood(BoxMood mood) { this->box_mood = mood; }

  // The address of the service that moves and maintains boxes.
  std::string boxes_address() const;

  // Promises that were broken, in words.
  const std::vector<std::string>& broken() const { return this->faults; }
  // A task of the job has been started.
  bool HasStarted(const std::string& job) const {
    return this->started_jobs.contains(job);
  }
  int starts() const { return this->start_count; }
  // Starts on boxes of the zone.
  int StartsIn(const std::string& zone) const {
    const auto found = this->starts_by_zone.find(zone);
    return found == this->starts_by_zone.end() ? 0 : found->second;
  }
  // The most tasks that ran at one time, on all boxes together.
  int most_running() const { return this->most_running_count; }
  int ends_done() const { return this->done_count; }
  // Upkeeps that took a box down; each box has one per wave.
  int upkeeps() const { return this->upkeep_count; }
  // Boxes that were away at once when an upkeep began, itself included.
  std::size_t most_away() const { return this->most_away_count; }
  int RunningTasks(const std::string& job) const;
  // All tasks at work.
  std::set<std::string> Running() const;
  bool HasEndedDone(const std::string& task) const {
    return this->done.contains(task);
  }
  // Ends `failed` of a task.
  int Failures(const std::string& task) const {
    const auto found = this->failures.find(task);
    return found == this->failures.end() ? 0 : found->second;
  }
  struct PoolUse {
    std::int64_t cpu = 0;  // of boxes that are up
    std::int64_t used = 0;
    std::int64_t memory = 0;
    std::int64_t used_memory = 0;
  };
  PoolUse UseOf(const std::string& pool) const;
  // Whether one box of the pool has this much free.
  bool HasRoom(const std::string& pool,
               std::int64_t cpu,
               std::int64_t memory) const;
  std::vector<std::string> BoxesOf(const std::string& pool) const;

 private:
  struct Run {
    int number = 0;
    base::Micros ends{};
    std::int64_t cpu = 0;
    std::int64_t memory = 0;
    bool fails = false;
  };
  struct Life {
    std::string id;
    std::string box;
    std::string pool;
    bool is_cut = false;
    bool is_announced = true;
    std::int64_t cpu = 0;
    std::int64_t used = 0;  // by its runs
    std::int64_t used_memory = 0;
    std::int64_t born_ms = 0;        // since 1970
    std::int64_t clock_from_ms = 0;  // its clock counts from then on
    std::int64_t deadline_ms = 0;    // on its clock
    std::uint64_t epoch = 0;         // the highest, if epochs are checked
    std::map<std::string, Run> running;
    std::map<std::string, int> over;
    std::vector<nlohmann::json> ends;
    std::int64_t last_end = 0;
    std::unique_ptr<http::Server> server;
    std::vector<std::pair<http::ExchangePtr, base::Micros>> looks;
  };

  static std::int64_t ClockOf(const Life& life);
  void Announce(const Life& life);
  void AnnounceAll();
  void End(Life& life);
  // Under a new id if that is empty. With a port, it announces nothing.
  std::shared_ptr<Life> Begin(const std::string& box,
                              const std::string& pool,
                              const std::string& id = {},
                              std::uint16_t port = 0);
  // The lease lasts until the deadline, on its clock.
  void Extend(Life& life, std::int64_t deadline_ms) const;
  void Handle(Life& life, const http::ExchangePtr& exchange);
  void Hold(Life& life,
            const http::ExchangePtr& exchange,
            const nlohmann::json& body);
  void Start(Life& life,
             const http::ExchangePtr& exchange,
             const nlohmann::json& body);
  void Stop(Life& life,
            const http::ExchangePtr& exchange,
            const nlohmann::json& body);
  void JudgeEpoch(const std::string& box, std::uint64_t epoch);
  // Whether the epoch is not lower than `highest`, which it raises. Always true
  // if epochs are not checked.
  bool Obeys(std::uint64_t& highest,
             const std::string& box,
             std::uint64_t epoch);
  void JudgeStart(const Life& life, const std::string& task, int run);
  Run RunOf(const std::string& task, int number, const std::string& spec) const;
  void AddEnd(Life& life, const std::string& task, const char* how);
  void Work();
  std::string ListingText(const Life& life) const;
  void HandleBoxes(const http::ExchangePtr& exchange);
  void TakeDown(const std::string& box, const std::string& pool);

  base::Loop& loop;
  StoreStandin& store;
  base::Micros run_time = std::chrono::milliseconds(100);
  std::map<std::string, std::shared_ptr<Life>> lives;  // by box
  std::vector<std::shared_ptr<Life>> ended;  // kept until the loop is done
  std::map<std::string, base::Micros> away;  // boxes, until when
  std::map<std::string, std::string> pools;  // of boxes that are away
  std::map<std::string, std::string> zones;  // by box
  std::map<std::string, int> starts_by_zone;
  std::map<std::string, std::uint64_t> box_epochs;  // highest, by box
  std::set<std::string> noted;                      // tasks whose end was noted
  std::set<std::string> started_jobs;
  std::set<std::string> done;  // tasks that have ended so
  std::map<std::string, int> failures;
  std::map<std::string, base::Micros> entries_left;  // ids, until when
  std::vector<http::ExchangePtr> unheard;
  bool checks_epochs = false;
  std::int64_t cores = 4000;
  base::Micros max_lease = std::chrono::seconds(10);
  base::Micros away_time = std::chrono::milliseconds(400);
  BoxMood box_mood = BoxMood::kWell;
  std::vector<std::string> faults;
  int start_count = 0;
  int most_running_count = 0;
  int done_count = 0;
  int upkeep_count = 0;
  std::set<std::pair<std::string, int>> upkeeps_done;  // box and wave
  std::size_t most_away_count = 0;
  int life_count = 0;
  base::Timer timer;
  base::Timer heartbeat;
  http::Server box_server;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_WORKER_STANDIN_H_
