#include "entry/job_access.h"

#include <utility>

#include "base/event_log.h"

namespace quartzhoist::entry {

bool IsJobId(std::string_view text) {
  return text.size() == kJobIdDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") ==
             std::string_view::npos;
}

std::string JobIdIn(std::string_view path) {
  const std::string_view without_query = path.substr(0, path.find('?'));
  if (without_query.size() < kJobIdDigits)
    return "";
  const std::string_view last =
      without_query.substr(without_query.size() - kJobIdDigits);
  return IsJobId(last) ? std::string(last) : std::string();
}

JobOrigin OriginOf(const jobs::Progress& progress) {
  return {.organisation = progress.organisation, .queue = progress.queue};
}

JobOrigin OriginOf(const AcceptedJob& accepted) {
  return {.organisation = accepted.organisation, .queue = accepted.queue.name};
}

// The queue is the one that accepted the job, not the one of the request: a job
// is found by its id alone, so that any job could otherwise be read through an
// open queue.
JobAccess DecideJobAccess(const jobs::Config& config,
                          const std::string& caller,
                          const JobOrigin& origin) {
  if (!config.keys_required)
    return JobAccess::kAllowed;
  if (!origin.organisation)
    return JobAccess::kUndecided;
  if (origin.organisation->empty() || *origin.organisation == caller)
    return JobAccess::kAllowed;
  const jobs::Queue* queue = config.FindQueue(origin.queue);
  return queue && queue->open_to_all ? JobAccess::kAllowed : JobAccess::kDenied;
}

void ReadAcceptedOrigin(
    platform::Store& store,
    const std::string& job,
    const Shard& shard,
    std::function<void(const AcceptedOrigin& accepted)> on_read) {
  const platform::RowKey at = JobRow(job, shard);
  const platform::ReadQuery query{
      .table = at.table, .part = at.part, .from = at.key, .to = {}, .limit = 1};
  store.Read(query, [job, on_read = std::move(on_read)](
                        const std::optional<platform::ReadResult>& result) {
    if (!result) {
      on_read({});
      return;
    }
    AcceptedOrigin read{.is_known = true};
    if (!result->rows.empty() && result->rows.front().at.key == job) {
      const auto accepted = DecodeAccepted(result->rows.front().value);
      if (accepted)
        read.origin = OriginOf(*accepted);
      else
        base::Log(base::Event::kRowMalformed, {{"row", job}});
      // A malformed row does not tell the job's organisation.
      read.is_known = accepted.has_value();
    }
    on_read(read);
  });
}

}  // namespace quartzhoist::entry
