// Judges a soak's jobs by what callers and workers see, as the rules LOST and
// REFUSED do.

#ifndef TESTING_SOAK_JUDGE_H_
#define TESTING_SOAK_JUDGE_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "testing/job_cluster.h"
#include "testing/soak_callers.h"

namespace quartzhoist::testing {

class SoakJudge {
 public:
  SoakJudge(JobCluster& cluster, const SoakCallers& callers, int attempts)
      : cluster(cluster), callers(callers), attempts(attempts) {}

  // Looks at all accepted jobs. No fault has been near since `calm_since`.
  void Look(base::Micros calm_since);
  // Whether all that was accepted is over or at work, by the workers.
  bool AllOver() const;
  // Asks for the states of the jobs that last, or of all others.
  void JudgeStates(bool of_lasting);
  // Tasks of jobs that were refused.
  void JudgeRefused();

  const std::vector<std::string>& broken() const { return this->faults; }

 private:
  void LookAtLasting(const SoakJob& job, base::Micros calm_since);
  void LookAtOther(const SoakJob& job, base::Micros calm_since);
  // Whether a task has used its attempts up.
  bool HasFailed(const SoakJob& job) const;
  // The tasks whose turn has come and that have not ended; empty: it is over.
  std::vector<std::string> Due(const SoakJob& job) const;

  JobCluster& cluster;
  const SoakCallers& callers;
  int attempts;
  std::set<std::string> running;
  std::map<std::string, base::Micros> last_run;   // by task
  std::map<std::string, base::Micros> not_idle;   // jobs, latest
  std::map<std::string, base::Micros> not_roomy;  // pools, latest
  std::set<std::string> told;
  std::vector<std::string> faults;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_SOAK_JUDGE_H_
