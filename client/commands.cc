#include "client/commands.h"

#include <fstream>

#include <fmt/format.h>

#include "base/ini_file.h"
#include "client/daemon_api.h"
#include "client/render.h"
#include "table/check.h"
#include "table/text.h"

namespace quartzhoist::client {

namespace {

using nlohmann::json;

constexpr const char* kDumpPath = "/dump";

// One daemon's shards, as its state says.
Line LineOf(const std::string& daemon, const json& shards) {
  std::string numbers;
  std::size_t workers = 0;
  std::size_t jobs = 0;
  for (const json& shard : shards) {
    numbers += numbers.empty() ? "" : ",";
    numbers += shard.at("shard").dump();
    workers += shard.at("workers").size();
    jobs += shard.at("jobs").size();
  }
  return {daemon, numbers.empty() ? "-" : numbers, std::to_string(workers),
          std::to_string(jobs)};
}

}  // namespace

void Check(const std::string& file, bool as_json) {
  std::ifstream in(file);
  if (!in)
    throw base::TextError(file, 0, "", "cannot be opened");
  const table::Rows rows = table::ReadText(in, file);
  const std::vector<table::Fault> faults = table::Check(rows);
  json list = json::array();
  for (const table::Fault& fault : faults) {
    list.push_back(
        {{"row", fault.row}, {"cell", fault.cell}, {"problem", fault.problem}});
    if (!as_json)
      fmt::print("{}: {}.{}: {}\n", file, fault.row, fault.cell, fault.problem);
  }
  if (as_json)
    fmt::print("{}\n", json{{"rows", rows.size()}, {"faults", list}}.dump());
  if (!faults.empty())
    throw CommandError(ExitCode::kRejected,
                       fmt::format("{}: {} faults", file, faults.size()));
  if (!as_json)
    fmt::print("{}: {} rows, ok\n", file, rows.size());
}

// A daemon that is out of reach is named, and the others are shown.
void Status(const std::vector<std::string>& daemons, bool as_json) {
  std::vector<Line> lines{{"daemon", "shards", "workers", "jobs"}};
  json all = json::object();
  std::string away;
  for (const std::string& daemon : daemons) {
    try {
      const json shards = DaemonApi(daemon).Get(kDumpPath);
      lines.push_back(LineOf(daemon, shards));
      all[daemon] = shards;
    } catch (const CommandError& error) {
      away += fmt::format("{}{}", away.empty() ? "" : "\n", error.what());
    }
  }
  if (as_json)
    fmt::print("{}\n", all.dump());
  else
    fmt::print("{}", RenderTable(lines));
  if (!away.empty())
    throw CommandError(ExitCode::kUnavailable, away);
}

void Dump(const std::string& daemon, bool as_json) {
  const json state = DaemonApi(daemon).Get(kDumpPath);
  fmt::print("{}\n", as_json ? state.dump() : state.dump(2));
}

}  // namespace quartzhoist::client
