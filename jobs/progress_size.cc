#include "jobs/progress_size.h"

#include <algorithm>

namespace quartzhoist::jobs {

namespace {

// Bytes of "999.63":"", with the comma.
constexpr std::size_t kStepKeyBytes = 12;
// State, epoch, names of the organisation and the queue, names of the fields.
constexpr std::size_t kHeaderBytes = 512;

}  // namespace

std::size_t DoneBytes(const Progress& progress) {
  std::size_t bytes = 0;
  for (const auto& [step, bits] : progress.done)
    bytes += kStepKeyBytes + bits.size();
  return bytes;
}

std::size_t MaxDoneBytes(const JobSpec& spec) {
  std::size_t bytes = 0;
  for (const Step& step : spec.steps)
    bytes += kStepKeyBytes + static_cast<std::size_t>(step.tasks);
  return bytes * static_cast<std::size_t>(spec.occurrences());
}

// Long-running tasks are to run all at once, as are the tasks of a gang. Other
// tasks need room for one run.
std::size_t NeededBytes(const JobSpec& spec) {
  std::size_t lasting_runs = 0;
  std::size_t largest_gang = 1;
  for (const Step& step : spec.steps) {
    const auto tasks = static_cast<std::size_t>(step.tasks);
    if (step.long_running)
      lasting_runs += tasks;
    else if (step.gang)
      largest_gang = std::max(largest_gang, tasks);
  }
  lasting_runs *= static_cast<std::size_t>(spec.occurrences());
  return kHeaderBytes + MaxDoneBytes(spec) +
         (lasting_runs + largest_gang) * kMaxRunBytes;
}

}  // namespace quartzhoist::jobs
