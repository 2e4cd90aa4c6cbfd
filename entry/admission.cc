#include "entry/admission.h"

#include <algorithm>
#include <utility>

#include "entry/caller_status.h"
#include "jobs/objective.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::seconds;

// A job done within this many times its objective is late but useful.
constexpr int kUsefulnessFactor = 3;
constexpr seconds kMinRetryAfter{1};
// Waits change within seconds: a caller that is told to stay away for longer
// would miss free capacity.
constexpr seconds kMaxRetryAfter{30};
// Additional delay for each more urgent priority.
constexpr seconds kRetryDelayPerPriority{1};
// A generation lasts this long, so that a job is remembered for 10 to 20 s: a
// call to the store that had no answer is over by then.
constexpr base::Micros kGenerationDuration = seconds(10);
// About 1 MB for both generations.
constexpr std::size_t kMaxJobsPerGeneration = 5000;

// Nothing unless the shard's owner is known to renew and has reported a wait.
std::optional<base::Micros> ExpectedWaitIn(const AdmissionRequest& request,
                                           const ShardLoad& load,
                                           bool is_over_rate) {
  const auto found = load.waits.find(request.queue);
  if (load.is_stalled || found == load.waits.end())
    return std::nullopt;
  return std::chrono::milliseconds(is_over_rate ? found->second.over_rate_ms
                                                : found->second.within_rate_ms);
}

bool IsOverRate(const AdmissionRequest& request, const ShardLoad& load) {
  return std::find(load.over_rate.begin(), load.over_rate.end(),
                   request.organisation) != load.over_rate.end();
}

// Time until a job that is accepted now is done; nothing if that is unknown.
std::optional<base::Micros> TimeUntilDone(const AdmissionRequest& request,
                                          const ShardLoad& load) {
  const auto wait = ExpectedWaitIn(request, load, IsOverRate(request, load));
  return wait ? std::optional<base::Micros>(*wait + request.chain)
              : std::nullopt;
}

bool IsExempt(const jobs::JobSpec& job) {
  const bool repeats = job.repeat_count > 0 || job.start_at_ms > 0;
  return repeats || std::any_of(job.steps.begin(), job.steps.end(),
                                [](const jobs::Step& step) {
                                  // A step that fills reserves no CPU time to
                                  // wait for.
                                  return step.long_running || step.fills;
                                });
}

// Priorities are numbers up to 1000 with any gaps, so that their difference
// says nothing about how many are served first.
int CountMoreUrgentPriorities(const jobs::Config& config, int priority) {
  std::set<int> more_urgent;
  for (const jobs::Queue& queue : config.queues) {
    if (queue.priority < priority)
      more_urgent.insert(queue.priority);
  }
  return static_cast<int>(more_urgent.size());
}

}  // namespace

AdmissionRequest MakeAdmissionRequest(const jobs::Config& config,
                                      const jobs::Queue& queue,
                                      const jobs::JobSpec& job,
                                      const std::string& organisation) {
  const base::Micros chain = jobs::LongestChain(
      job.steps, job.steps.size(), [](const jobs::Step& step) {
        return std::chrono::milliseconds(step.estimate_ms);
      });
  return {.objective = jobs::ObjectiveFor(queue, chain),
          .chain = chain,
          .priority = CountMoreUrgentPriorities(config, queue.priority),
          .is_long_running = IsExempt(job),
          .queue = queue.name,
          .organisation = organisation};
}

// With a single queue that has a deadline, no other work is to be protected
// from its load.
bool IsAdmissionInForce(const jobs::Config& config) {
  const auto with_deadline = std::count_if(
      config.queues.begin(), config.queues.end(), [](const jobs::Queue& queue) {
        return queue.target_latency > base::Micros::zero();
      });
  return with_deadline > 1;
}

Timeliness TimelinessIn(const AdmissionRequest& request,
                        const ShardLoad& load) {
  const std::optional<base::Micros> done_after = TimeUntilDone(request, load);
  const bool has_objective = request.objective > base::Micros::zero();
  if (request.is_long_running || !has_objective || !done_after ||
      *done_after <= request.objective)
    return Timeliness::kOnTime;
  return *done_after <= kUsefulnessFactor * request.objective
             ? Timeliness::kLate
             : Timeliness::kUseless;
}

Admission::Admission(std::uint64_t seed) : random(seed) {}

// Once `excess` has passed, the caller's next attempt would be done in time if
// the work ahead only shrank. The random part keeps callers that were rejected
// together from returning together.
std::optional<Rejection> Admission::Decide(const AdmissionRequest& request,
                                           const ShardLoad& load) {
  if (TimelinessIn(request, load) != Timeliness::kUseless)
    return std::nullopt;
  const base::Micros excess =
      *TimeUntilDone(request, load) - kUsefulnessFactor * request.objective;
  const auto max_spread = static_cast<std::uint64_t>(excess.count()) / 2;
  const base::Micros spread(
      static_cast<std::int64_t>(this->random() % (max_spread + 1)));
  const seconds retry_after = std::chrono::ceil<seconds>(excess + spread) +
                              kRetryDelayPerPriority * request.priority;
  const bool is_over_rate = IsOverRate(request, load);
  return Rejection{
      .status = is_over_rate ? kTooManyRequests : kServiceUnavailable,
      .retry_after = std::clamp(retry_after, kMinRetryAfter, kMaxRetryAfter),
      .reason = is_over_rate ? "over the organisation's rate"
                             : "cannot be done in time"};
}

void UnknownOutcomes::Add(const std::string& job, base::Micros now) {
  this->Rotate(now);
  Generation& current = this->generations.front();
  if (current.jobs.size() < kMaxJobsPerGeneration)
    current.jobs.insert(job);
  else
    current.is_full = true;
}

bool UnknownOutcomes::MayContain(const std::string& job, base::Micros now) {
  this->Rotate(now);
  return std::any_of(this->generations.begin(), this->generations.end(),
                     [&job](const Generation& generation) {
                       return generation.is_full ||
                              generation.jobs.contains(job);
                     });
}

void UnknownOutcomes::Rotate(base::Micros now) {
  const base::Micros age = now - this->begun;
  if (age < kGenerationDuration)
    return;
  this->generations.back() = age < 2 * kGenerationDuration
                                 ? std::move(this->generations.front())
                                 : Generation();
  this->generations.front() = Generation();
  this->begun = now;
}

}  // namespace quartzhoist::entry
