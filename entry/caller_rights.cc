#include "entry/caller_rights.h"

#include <algorithm>
#include <cstdint>
#include <string_view>

#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

bool ExceedsLimit(std::int64_t per_task,
                  std::int64_t tasks,
                  std::int64_t limit) {
  return limit > 0 && per_task * tasks > limit;
}

}  // namespace

std::optional<std::string> AuthenticateCaller(const jobs::Config& config,
                                              const jobs::Queue& queue,
                                              const http::Headers& headers) {
  const std::optional<std::string_view> key = platform::CallerKey(headers);
  const jobs::Organisation* key_owner =
      key ? config.FindOrganisationByKey(jobs::ComputeKeyDigest(*key))
          : nullptr;
  if (key_owner)
    return key_owner->name;
  const bool key_optional = queue.open_to_all || !config.keys_required;
  return key_optional ? std::optional<std::string>("") : std::nullopt;
}

// The tasks of a gang run together or not at all, so that a gang larger than
// the quota can never start.
bool GangExceedsQuota(const jobs::Config& config,
                      const std::string& organisation,
                      const jobs::JobSpec& spec) {
  const jobs::Organisation* caller = config.FindOrganisation(organisation);
  if (!caller)
    return false;
  const jobs::Resources& quota = caller->quota;
  return std::any_of(
      spec.steps.begin(), spec.steps.end(), [&quota](const jobs::Step& step) {
        return step.gang &&
               (ExceedsLimit(step.task_resources.cpu_millis, step.tasks,
                             quota.cpu_millis) ||
                ExceedsLimit(step.task_resources.memory_mb, step.tasks,
                             quota.memory_mb) ||
                ExceedsLimit(step.task_resources.gpus, step.tasks, quota.gpus));
      });
}

}  // namespace quartzhoist::entry
