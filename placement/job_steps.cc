#include "placement/job_steps.h"

#include <stdexcept>

#include <nlohmann/json.hpp>

namespace quartzhoist::placement {

namespace {

using nlohmann::json;

constexpr std::string_view kJobPrefix = "job/";

}  // namespace

std::string JobKey(const std::string& id) {
  return std::string(kJobPrefix) + id;
}

std::string EncodeJob(const Job& job) {
  return json{{"kind", job.kind},
              {"team", job.team},
              {"pool", job.pool},
              {"class", std::string(NameOf(table::kUrgencyNames, job.urgency))},
              {"order", job.order},
              {"cores", job.declared.cores},
              {"memory_mb", job.declared.memory_mb},
              {"accelerators", job.declared.accelerators},
              {"can_checkpoint", job.can_checkpoint},
              {"arrived_us", job.arrived.count()},
              {"state", std::string(NameOf(kJobStateNames, job.state))},
              {"box", job.box}}
      .dump();
}

Job DecodeJob(const table::StoredRow& stored) {
  const json value = json::parse(stored.value, nullptr, false);
  if (!value.is_object() || !stored.key.starts_with(kJobPrefix))
    throw std::runtime_error(stored.key + ": not a job");
  try {
    const auto urgency = base::ValueOf(table::kUrgencyNames,
                                       value.at("class").get<std::string>());
    const auto state =
        base::ValueOf(kJobStateNames, value.at("state").get<std::string>());
    if (!urgency || !state)
      throw std::runtime_error(stored.key + ": no such class or state");
    return {.id = stored.key.substr(kJobPrefix.size()),
            .kind = value.at("kind").get<std::string>(),
            .team = value.at("team").get<std::string>(),
            .pool = value.at("pool").get<std::string>(),
            .urgency = *urgency,
            .order = value.at("order").get<std::int64_t>(),
            .declared = {.cores = value.at("cores").get<std::int64_t>(),
                         .memory_mb = value.at("memory_mb").get<std::int64_t>(),
                         .accelerators =
                             value.at("accelerators").get<std::int64_t>()},
            .can_checkpoint = value.at("can_checkpoint").get<bool>(),
            .arrived = base::Micros(value.at("arrived_us").get<std::int64_t>()),
            .state = *state,
            .box = value.at("box").get<std::string>(),
            .epoch = stored.version};
  } catch (const json::exception& error) {
    throw std::runtime_error(stored.key + ": " + error.what());
  }
}

platform::Transaction JobStep(const Job& after,
                              table::Version epoch,
                              const std::string& writer) {
  const std::string key = JobKey(after.id);
  return {.writer = writer,
          .conditions = {{key, epoch}},
          .writes = {{key, EncodeJob(after)}}};
}

std::string HostKey(const std::string& box) {
  return "host/" + box;
}

platform::Transaction StartStep(const Job& after,
                                table::Version epoch,
                                table::Version host_version,
                                const std::string& writer) {
  platform::Transaction transaction = JobStep(after, epoch, writer);
  const std::string key = HostKey(after.box);
  transaction.conditions.push_back({key, host_version});
  transaction.writes.push_back({key, json{{"last_start", after.id}}.dump()});
  return transaction;
}

}  // namespace quartzhoist::placement
