#include "entry/caller_rights.h"

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

bool IsAbove(std::int64_t each, std::int64_t tasks, std::int64_t most) {
  return most > 0 && each * tasks > most;
}

}  // namespace

std::optional<std::string> CallerOf(const jobs::Config& config,
                                    const jobs::Queue& queue,
                                    const http::Headers& headers) {
  const std::optional<std::string_view> key = platform::CallerKey(headers);
  const jobs::Organisation* holder =
      key ? config.FindOrganisationByKey(jobs::ComputeKeyDigest(*key))
          : nullptr;
  if (holder)
    return holder->name;
  const bool needs_none = queue.auth_exempt || !config.requires_api_key;
  return needs_none ? std::optional<std::string>("") : std::nullopt;
}

// The tasks of a gang run together or not at all: one that is larger than the
// quota can never run.
bool IsAboveQuota(const jobs::Config& config,
                  const std::string& organisation,
                  const jobs::JobSpec& spec) {
  const jobs::Organisation* caller = config.FindOrganisation(organisation);
  if (!caller)
    return false;
  const jobs::Resources& quota = caller->quota;
  return std::any_of(
      spec.steps.begin(), spec.steps.end(), [&quota](const jobs::Step& step) {
        return step.gang &&
               (IsAbove(step.task_resources.cpu_millis, step.tasks,
                        quota.cpu_millis) ||
                IsAbove(step.task_resources.memory_mb, step.tasks,
                        quota.memory_mb) ||
                IsAbove(step.task_resources.gpus, step.tasks, quota.gpus));
      });
}

}  // namespace quartzhoist::entry
