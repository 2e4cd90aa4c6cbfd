// The minions of a deployment and the service that moves and maintains their
// machines, as the platform's pages describe them.

#ifndef REVIEW_LAB_FLEET_HPP_
#define REVIEW_LAB_FLEET_HPP_

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

#include "lab/clock.hpp"
#include "lab/http.hpp"
#include "lab/store.hpp"

namespace review {

// Bounds of the deployment, as its settings tell them to the daemons.
struct Bounds {
  std::int64_t heartbeat_ms = 1500;
  std::int64_t max_hold_ms = 10'000;
  std::int64_t move_ms = 1500;
  std::int64_t upkeep_ms = 2000;
};

class Fleet {
 public:
  Fleet(Store& store, Record& record, const Bounds& bounds);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  void AddMachine(const std::string& machine, const std::string& pool);
  void SetTaskMillis(std::int64_t millis) { this->task_ms = millis; }

  // Calls to the service at `cloudApi`.
  Response HandleCloud(const Request& request);

  // Starts that were carried out.
  int starts() const { return this->start_count; }
  // The jobs of which a task has begun.
  std::set<std::string> StartedJobs();
  // Starts of a task while another run of it is active, and starts after a run
  // of it has ended `done`, where that end has been taken note of.
  std::vector<std::string> DoubleRuns();
  // Called when an upkeep begins, with the machine, the wave and the machines
  // that are down for an upkeep already.
  std::function<void(const std::string&, int, const std::vector<std::string>&)>
      on_upkeep;

 private:
  struct Run {
    int number = 0;
    std::int64_t began_ms = 0;  // on the steady clock
    std::int64_t ends_ms = 0;
  };
  // The first end `done` of a task.
  struct DoneEnd {
    std::string minion;
    std::int64_t number = 0;  // in the minion's list
    bool is_noted = false;    // the minion has been told that it was seen
    bool lapsed = false;      // the minion's lease lapsed before that
    std::string later_start;  // a start after it; empty if there is none
  };
  // One life of a machine.
  struct Minion {
    std::string id;
    std::string machine;
    std::string pool;
    std::int64_t began_ms = 0;
    std::int64_t deadline_ms = 0;  // on its clock
    std::uint64_t token = 0;       // highest fencing token
    std::map<std::string, Run> running;
    std::map<std::string, int> over;  // highest run ended or stopped, by task
    std::vector<nlohmann::json> ends;
    std::int64_t last_end = 0;
    std::int64_t last_noted = 0;  // the highest `lastSeen`
    bool alive = true;
    std::unique_ptr<Server> server;

    std::int64_t Clock() const { return NowMillis() - this->began_ms; }
  };
  struct Machine {
    std::string pool;
    std::string state = "up";
    std::int64_t back_ms = 0;
    std::uint64_t token = 0;
    std::set<int> waves;  // in which it has had its upkeep
    std::shared_ptr<Minion> minion;
  };

  std::shared_ptr<Minion> Begin(const std::string& machine,
                                const std::string& pool);
  void Announce(const Minion& minion);
  Response HandleMinion(Minion& minion, const Request& request);
  Response Hold(Minion& minion,
                const nlohmann::json& body,
                std::unique_lock<std::mutex>& guard);
  Response Start(Minion& minion, const nlohmann::json& body);
  Response Stop(Minion& minion, const nlohmann::json& body);
  void AddEnd(Minion& minion, const std::string& task, const char* how);
  void JudgeStart(const Minion& minion, const std::string& task, int run);
  void NoteEnds(Minion& minion, std::int64_t seen);
  void NoteLapse(const Minion& minion);
  void TakeDown(Machine& machine, const std::string& state, std::int64_t away);
  Response ListMachines();
  void Work();
  void Heartbeat();

  Store& store;
  Record& record;
  Bounds bounds;
  std::atomic<std::int64_t> task_ms{800};
  std::mutex lock;
  std::condition_variable changed;
  std::map<std::string, Machine> machines;
  std::vector<std::shared_ptr<Minion>> ended;  // their servers are still open
  std::set<std::string> started;
  std::map<std::string, DoneEnd> done;  // by task
  std::vector<std::string> overlaps;
  std::atomic<int> start_count{0};
  int lives = 0;
  std::atomic<bool> ending{false};
  std::thread worker;
  std::thread beater;
};

}  // namespace review

#endif  // REVIEW_LAB_FLEET_HPP_
