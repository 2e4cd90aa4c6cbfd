#include "client/commands.h"

#include <algorithm>
#include <cctype>
#include <fstream>
#include <iostream>
#include <iterator>

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

// The key is never an argument of the command, which every user of the machine
// could read. White space around it is the editor's.
std::string ReadKey(const std::string& file) {
  if (file.empty())
    return "";
  std::ifstream opened;
  if (file != "-")
    opened.open(file);
  std::istream& in = file == "-" ? std::cin : opened;
  if (!in)
    throw base::TextError(file, 0, "", "cannot be opened");
  std::string key(std::istreambuf_iterator<char>(in), {});
  key.erase(key.find_last_not_of(" \t\r\n") + 1);
  key.erase(0, std::min(key.find_first_not_of(" \t"), key.size()));
  // A line break would add a header to the request.
  const bool is_printable = std::all_of(
      key.begin(), key.end(), [](unsigned char c) { return std::isprint(c); });
  if (key.empty() || !is_printable)
    throw base::TextError(file, 0, "", "holds no access key");
  return key;
}

bool IsJobId(const std::string& text) {
  constexpr std::size_t kDigits = 16;
  return text.size() == kDigits &&
         std::all_of(text.begin(), text.end(),
                     [](unsigned char c) { return std::isxdigit(c); });
}

// The value as a cell of a table; "-" if the answer lacks it.
std::string Cell(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end())
    return "-";
  const std::string text =
      found->is_string() ? found->get<std::string>() : found->dump();
  return text.empty() ? "-" : text;
}

// RUN@WORKER, and how it ended.
std::string RunsCell(const json& task) {
  std::string text;
  for (const json& run : task.value("runs", json::array())) {
    text += fmt::format("{}{}@{}", text.empty() ? "" : ", ", Cell(run, "run"),
                        Cell(run, "worker"));
    if (Cell(run, "end") != "-")
      text += " " + Cell(run, "end");
  }
  return text.empty() ? "-" : text;
}

void PrintExplanation(const json& answer) {
  std::vector<Line> lines{
      {"job", "state", "shard", "queue", "priority", "source", "age_ms"}};
  Line& values = lines.emplace_back();
  for (const std::string& name : Line(lines.front()))
    values.push_back(Cell(answer, name.c_str()));
  fmt::print("{}", RenderTable(lines));
  if (Cell(answer, "source") == "row")
    fmt::print("owner: {}\n", Cell(answer, "owner"));
  std::vector<Line> tasks{
      {"task", "state", "since_ms", "waits_for", "ahead", "start_ms", "runs"}};
  for (const json& task : answer.value("tasks", json::array())) {
    tasks.push_back({Cell(task, "task"), Cell(task, "state"),
                     Cell(task, "since_ms"), Cell(task, "waits_for"),
                     Cell(task, "ahead"), Cell(task, "expected_start_ms"),
                     RunsCell(task)});
  }
  if (tasks.size() > 1)
    fmt::print("\n{}", RenderTable(tasks));
  const int left_out = answer.value("tasks_left_out", 0);
  if (left_out > 0)
    fmt::print("{} more tasks\n", left_out);
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

void Explain(const std::string& job,
             const std::string& daemon,
             const std::string& key_file,
             bool as_json) {
  if (!IsJobId(job))
    throw CommandError(
        ExitCode::kUsage,
        fmt::format("'{}' is not a job's id, 16 hex digits", job));
  const json answer =
      DaemonApi(daemon).GetWithKey("/explain/" + job, ReadKey(key_file));
  if (as_json)
    fmt::print("{}\n", answer.dump());
  else
    PrintExplanation(answer);
}

}  // namespace quartzhoist::client
