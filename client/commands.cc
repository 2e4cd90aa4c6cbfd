#include "client/commands.h"

#include <unistd.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <fmt/format.h>

#include "base/ini_file.h"
#include "client/render.h"
#include "table/cells.h"
#include "table/edit_json.h"
#include "table/text.h"

namespace quartzhoist::client {

namespace {

using nlohmann::json;

constexpr std::string_view kRevisionComment = "# revision ";
constexpr base::Micros kWaitPoll = std::chrono::milliseconds(200);

[[noreturn]] void Usage(const std::string& problem) {
  throw CommandError(ExitCode::kUsage, problem + "; see 'quartzhoist --help'");
}

// A table file, and the revision that its first lines say it was shown at.
struct TableFile {
  table::Rows rows;
  std::optional<table::Version> revision;
};

TableFile ReadTableFile(const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw base::TextError(file, 0, "", "cannot be opened");
  std::stringstream text;
  text << in.rdbuf();
  TableFile result{.rows = table::ReadText(text, file), .revision = {}};
  const std::string whole = text.str();
  const std::size_t at = whole.find(kRevisionComment);
  if (at != std::string::npos) {
    table::Version revision = 0;
    const char* begin = whole.data() + at + kRevisionComment.size();
    const auto [rest, error] =
        std::from_chars(begin, whole.data() + whole.size(), revision);
    if (error == std::errc())
      result.revision = revision;
  }
  return result;
}

table::Rows RowsOf(const json& shown) {
  std::istringstream text(shown.at("text").get<std::string>());
  return table::ReadText(text, "the daemon's table");
}

// "service/quotes away=10% order=2" as a change.
table::Change ChangeOf(const std::vector<std::string>& words) {
  if (words.size() < 2)
    Usage("edit needs a row and CELL=VALUE, or --file FILE");
  table::Change change{.row = words.front()};
  table::Row row = table::PoolRow{};
  try {
    row = table::RowFromId(change.row);
    for (std::size_t i = 1; i < words.size(); ++i) {
      const std::size_t equals = words[i].find('=');
      if (equals == std::string::npos)
        Usage(fmt::format("'{}' is not CELL=VALUE", words[i]));
      const std::string cell = words[i].substr(0, equals);
      const std::string text = words[i].substr(equals + 1);
      table::SetCell(row, cell, text);
      change.cells[cell] = text;
    }
  } catch (const table::CellError& error) {
    Usage(fmt::format("{}.{}", change.row, error.what()));
  }
  return change;
}

// What the command line asks for, on top of what the daemon shows now.
table::Edit EditOf(DaemonApi& daemon, const Invocation& invocation) {
  const json shown = daemon.Get("/v1/table");
  table::Edit edit{.base = shown.at("revision").get<table::Version>(),
                   .changes = {}};
  if (!invocation.file) {
    edit.changes.push_back(ChangeOf(invocation.words));
    const std::string& row = edit.changes.front().row;
    if (!invocation.new_row && !RowsOf(shown).contains(row))
      Usage(fmt::format("there is no {}; add --new to make it", row));
  } else {
    const TableFile file = ReadTableFile(*invocation.file);
    edit.changes = table::Difference(RowsOf(shown), file.rows);
    if (file.revision)
      edit.base = *file.revision;
  }
  if (invocation.base)
    edit.base = *invocation.base;
  return edit;
}

struct Spread {
  int in_force = 0;
  int live = 0;
};

Spread SpreadOf(const json& status, table::Version revision) {
  Spread spread;
  for (const json& member : status.at("members")) {
    if (!member.value("live", false))
      continue;
    ++spread.live;
    if (member.value("revision", table::Version{0}) >= revision)
      ++spread.in_force;
  }
  return spread;
}

// Waits until every live daemon has the revision, and says how it goes.
double WaitUntilInForce(DaemonApi& daemon,
                        table::Version revision,
                        double limit_seconds) {
  const base::Micros began = base::MonotonicNow();
  int shown = -1;
  while (true) {
    const Spread spread = SpreadOf(daemon.Get("/v1/members"), revision);
    const double took = base::Seconds(base::MonotonicNow() - began);
    if (spread.in_force != shown && isatty(STDERR_FILENO) != 0)
      fmt::print(stderr, "in force on {} of {} daemons after {:.1f} s\n",
                 spread.in_force, spread.live, took);
    shown = spread.in_force;
    if (spread.in_force == spread.live)
      return took;
    if (took > limit_seconds)
      throw CommandError(
          ExitCode::kNotYet,
          fmt::format("accepted as revision {}, in force on {} of {} daemons "
                      "after {:.1f} s; 'quartzhoist status' shows which",
                      revision, spread.in_force, spread.live, took));
    std::this_thread::sleep_for(kWaitPoll);
  }
}

std::string OneWord(const Invocation& invocation, const char* what) {
  if (invocation.words.size() != 1)
    Usage(fmt::format("name one {}", what));
  return invocation.words.front();
}

std::string Text(const json& value, const char* key) {
  const auto found = value.find(key);
  if (found == value.end())
    return "";
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void PrintList(const json& list, const std::vector<const char*>& keys) {
  std::vector<Line> lines(1);
  for (const char* key : keys)
    lines[0].emplace_back(key);
  for (const json& item : list) {
    Line line;
    for (const char* key : keys)
      line.push_back(Text(item, key));
    lines.push_back(std::move(line));
  }
  fmt::print("{}", RenderTable(lines));
}

}  // namespace

void Check(const Invocation& invocation) {
  const std::string file = OneWord(invocation, "table file");
  const TableFile read = ReadTableFile(file);
  const std::vector<table::Fault> faults = table::Check(read.rows);
  if (invocation.json) {
    json list = json::array();
    for (const table::Fault& fault : faults)
      list.push_back({{"row", fault.row},
                      {"cell", fault.cell},
                      {"problem", fault.problem}});
    fmt::print("{}\n",
               json{{"rows", read.rows.size()}, {"faults", list}}.dump());
  } else {
    for (const table::Fault& fault : faults)
      fmt::print("{}: {}.{}: {}\n", file, fault.row, fault.cell, fault.problem);
  }
  if (!faults.empty())
    throw CommandError(ExitCode::kRejected,
                       fmt::format("{}: {} faults", file, faults.size()));
  if (!invocation.json)
    fmt::print("{}: {} rows, ok\n", file, read.rows.size());
}

void Show(DaemonApi& daemon, const Invocation& invocation) {
  json shown = daemon.Get("/v1/table");
  if (!invocation.words.empty()) {
    const std::string id = OneWord(invocation, "row");
    const table::Rows rows = RowsOf(shown);
    const auto row = rows.find(id);
    if (row == rows.end())
      throw CommandError(ExitCode::kFailed,
                         fmt::format("there is no {}; 'quartzhoist show' lists "
                                     "the rows",
                                     id));
    shown["text"] = table::WriteText({{id, row->second}});
    json kept = json::array();
    for (const json& entry : shown.at("rows")) {
      if (entry.at("row") == id)
        kept.push_back(entry);
    }
    shown["rows"] = kept;
  }
  if (invocation.json) {
    shown.erase("text");
    fmt::print("{}\n", shown.dump());
    return;
  }
  fmt::print("{}{}\n{}", kRevisionComment, shown.at("revision").dump(),
             shown.at("text").get<std::string>());
}

void Plan(DaemonApi& daemon, const Invocation& invocation) {
  const table::Edit edit = EditOf(daemon, invocation);
  const json plan = daemon.Post("/v1/plan", table::EncodeEdit(edit));
  if (invocation.json) {
    fmt::print("{}\n", plan.dump());
    return;
  }
  fmt::print("rows changed: {}\n", plan.at("changed").size());
  PrintList(plan.at("pools"), {"pool", "moved", "maintained", "waves", "lowest",
                               "need", "stuck"});
}

void Status(DaemonApi& daemon, const Invocation& invocation) {
  const json status = daemon.Get("/v1/status");
  if (invocation.json) {
    fmt::print("{}\n", status.dump());
    return;
  }
  fmt::print(
      "revision {}, platform {}\n\n", Text(status, "revision"),
      status.value("platform_reachable", false) ? "reachable" : "out of reach");
  PrintList(status.at("members"), {"id", "zone", "live", "revision"});
  fmt::print("\n");
  PrintList(status.at("boxes"),
            {"name", "zone", "rack", "pool", "state", "next_pool"});
  fmt::print("\n");
  PrintList(status.at("waves"), {"pool", "serving", "need", "waiting", "hold"});
}

void Dump(DaemonApi& daemon, const Invocation& invocation) {
  const json state = daemon.Get("/v1/state");
  fmt::print("{}\n", invocation.json ? state.dump() : state.dump(2));
}

void Edit(DaemonApi& daemon, const Invocation& invocation) {
  const table::Edit edit = EditOf(daemon, invocation);
  json accepted = daemon.Post("/v1/edit", table::EncodeEdit(edit));
  const auto revision = accepted.at("revision").get<table::Version>();
  if (!invocation.json)
    fmt::print("accepted as revision {}, rows changed: {}\n", revision,
               accepted.at("changed").size());
  if (invocation.wait_seconds) {
    const double took =
        WaitUntilInForce(daemon, revision, *invocation.wait_seconds);
    accepted["in_force_seconds"] = took;
    if (!invocation.json)
      fmt::print("in force on every live daemon after {:.1f} s\n", took);
  }
  if (invocation.json)
    fmt::print("{}\n", accepted.dump());
}

void Drain(DaemonApi& daemon, const Invocation& invocation) {
  const std::string box = OneWord(invocation, "box");
  const json body = invocation.to_pool.empty()
                        ? json::object()
                        : json{{"to", invocation.to_pool}};
  const json answer = daemon.Post("/v1/boxes/" + box + "/drain", body.dump());
  if (invocation.json)
    fmt::print("{}\n", answer.dump());
  else
    fmt::print("{} drains; 'quartzhoist status' shows how far it is\n", box);
}

void Cancel(DaemonApi& daemon, const Invocation& invocation) {
  const std::string box = OneWord(invocation, "box");
  const json answer = daemon.Post("/v1/boxes/" + box + "/cancel", "{}");
  if (invocation.json)
    fmt::print("{}\n", answer.dump());
  else
    fmt::print("{} serves again\n", box);
}

}  // namespace quartzhoist::client
