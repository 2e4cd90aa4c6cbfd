// Callers of a soak: groups with kept connections that act at the same time,
// submit by turns, repeat what had no answer, ask for states and cancel.

#ifndef TESTING_SOAK_CALLERS_H_
#define TESTING_SOAK_CALLERS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "http/client.h"
#include "testing/job_cluster.h"

namespace quartzhoist::testing {

// The size of a soak.
struct SoakForm {
  int daemons = 4;
  int pools = 3;  // each with a queue of short tasks and one that lasts
  int boxes = 4;  // of each pool
  int spare_boxes = 3;
  int groups = 3;               // of callers
  bool epochs_checked = false;  // by workers and boxes
};

inline constexpr SoakForm kLargeForm{.daemons = 9,
                                     .pools = 4,
                                     .boxes = 8,
                                     .spare_boxes = 8,
                                     .groups = 8};

struct SoakJob {
  std::string id;
  std::string queue;
  std::string pool;
  bool lasts = false;
  int steps = 1;
  int tasks = 5;  // of each step
  std::int64_t cpu = 0;
  std::int64_t memory = 0;
  int tries = 0;
  bool is_open = false;    // a submission has no answer yet
  bool may_be_in = false;  // a submission ended without an answer
  int refusals = 0;        // 404, 413, 429, 503
  int not_sent = 0;
  base::Micros accepted{};   // 0: not yet
  base::Micros cancel_at{};  // 0: not to be cancelled
  bool cancel_sent = false;
  std::string body;
};

class SoakCallers {
 public:
  SoakCallers(JobCluster& cluster, const SoakForm& form, std::uint64_t seed);

  // Sends what is due.
  void Tick();
  // No further submissions and cancels.
  void Stop() { this->is_stopped = true; }
  void CancelLasting();

  // Called when a daemon is killed: its open calls may end without an answer.
  void NoteKilled(const std::string& daemon);
  // Called when a queue is removed that callers then ask for.
  void AskForMissingQueue(const std::string& queue);
  // Nothing but planned work since then.
  void SetCalmSince(base::Micros since) { this->calm_since = since; }

  const std::map<std::string, SoakJob>& jobs() const { return this->by_id; }
  int submissions() const { return this->submission_count; }
  const std::vector<std::string>& broken() const { return this->faults; }

 private:
  void SubmitByTurns(base::Micros now);
  SoakJob MakeJob(int pool, bool lasts);
  void Submit(const std::string& id, bool again);
  void OnSubmitted(const std::string& id,
                   const std::string& daemon,
                   base::Micros sent,
                   const http::ClientResult& result);
  void Ask(const SoakJob& job);
  void Cancel(SoakJob& job, int tries);
  void Send(const std::string& daemon,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            std::function<void(const http::ClientResult&)> done);
  // Whether a call that ended without an answer had to have one.
  void JudgeUnanswered(const std::string& what,
                       const std::string& daemon,
                       base::Micros sent,
                       const http::ClientResult& result);
  std::string AnyDaemon();
  double Draw() { return std::uniform_real_distribution<>()(this->random); }

  JobCluster& cluster;
  SoakForm form;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<http::Client>> clients;  // of the groups
  base::Micros began;
  base::Micros last_tick;
  base::Micros calm_since{};
  bool is_stopped = false;
  std::map<std::string, SoakJob> by_id;
  std::multimap<base::Micros, std::function<void()>> later;
  std::map<std::string, base::Micros> killed;  // daemons, when
  int submission_count = 0;
  std::vector<std::string> faults;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_SOAK_CALLERS_H_
