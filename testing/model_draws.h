// Jobs and numbers for property tests with the scheduler's model.

#ifndef TESTING_MODEL_DRAWS_H_
#define TESTING_MODEL_DRAWS_H_

#include <rapidcheck.h>

#include <cstdint>
#include <string>
#include <vector>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

inline jobs::Step MakeStep(int tasks, std::int64_t cpu) {
  jobs::Step step;
  step.tasks = tasks;
  step.task_resources = {.cpu_millis = cpu, .memory_mb = 500, .gpus = 0};
  step.estimate_ms = 1000;
  return step;
}

// Makes the step small enough for all long-running tasks and any other task to
// fit on two workers.
inline void MakeLongRunning(jobs::Step& step) {
  step.long_running = true;
  step.task_resources = {.cpu_millis = 50, .memory_mb = 100, .gpus = 0};
}

// Drawn from the whole range from the first case on.
inline int DrawBetween(int least, int most) {
  return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(least, most + 1));
}

inline std::string Joined(const std::vector<std::string>& lines) {
  std::string text;
  for (const std::string& line : lines)
    text += line + "\n";
  return text;
}

inline std::vector<ModelJob> DrawJobs(int count) {
  std::vector<ModelJob> jobs;
  for (int i = 0; i < count; ++i) {
    ModelJob job;
    job.id = "job" + std::to_string(i);
    job.attempts = *rc::gen::inRange(1, 4);
    job.spec.text = "text";
    job.spec.steps.push_back(
        MakeStep(*rc::gen::inRange(1, 5), *rc::gen::inRange(500, 2500)));
    if (*rc::gen::arbitrary<bool>()) {
      job.spec.steps.push_back(
          MakeStep(*rc::gen::inRange(1, 4), *rc::gen::inRange(500, 2500)));
      job.spec.steps.back().depends_on = {0};
    } else if (*rc::gen::arbitrary<bool>()) {
      MakeLongRunning(job.spec.steps.back());
    }
    jobs.push_back(job);
  }
  return jobs;
}

inline base::Micros DrawMillis(int least, int most) {
  return std::chrono::milliseconds(DrawBetween(least, most));
}

}  // namespace quartzhoist::testing

#endif  // TESTING_MODEL_DRAWS_H_
