// quartzhoist: the operators' client.

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <functional>
#include <string>
#include <vector>

#include <curl/curl.h>
#include <fmt/format.h>
#include <cxxopts.hpp>

#include "base/ini_file.h"
#include "base/ip_address.h"
#include "client/commands.h"

namespace quartzhoist::client {

namespace {

constexpr const char* kDefaultDaemon = "127.0.0.1:8081";
constexpr const char* kDaemonVariable = "QUARTZHOIST_DAEMON";

constexpr const char* kHelp = R"(
Commands:
  check FILE                     check a table file, without any daemon
  show [ROW]                     the table in force, or one row of it
  edit ROW CELL=VALUE ...        change cells of a row; --new makes one
  edit --file FILE               make the table as the file says; rows that
                                 it lacks are erased
  plan ROW CELL=VALUE ...        what an edit would do; also with --file
  drain BOX [--to POOL]          drain a box now, ready it, bring it back
  cancel BOX                     let a draining box serve again
  status                         daemons, boxes and waves
  dump                           one daemon's whole state

Examples:
  quartzhoist check hives.table
  quartzhoist show > hives.table
  quartzhoist plan pool/hall-2 boxes=12
  quartzhoist edit pool/hall-2 boxes=12 --wait
  quartzhoist edit --file hives.table --wait=30
  quartzhoist drain g1-r2-b3 --to spare
  quartzhoist status --json --daemon 10.0.0.7:8081

Exit codes: 0 done, 1 failed, 2 usage or a faulty file, 3 the table would not
hold together, 4 somebody else changed it first, 5 out of reach (nothing was
changed), 6 may have been changed, 7 accepted but not in force in time.
)";

using DaemonCommand = void (*)(DaemonApi&, const Invocation&);

struct NamedCommand {
  std::string_view name;
  DaemonCommand run;
};

constexpr std::array<NamedCommand, 7> kDaemonCommands{{
    {"show", Show},
    {"edit", Edit},
    {"plan", Plan},
    {"drain", Drain},
    {"cancel", Cancel},
    {"status", Status},
    {"dump", Dump},
}};

cxxopts::Options MakeOptions() {
  cxxopts::Options options("quartzhoist",
                           "Looks at and edits the fleet's "
                           "table.");
  options.custom_help("COMMAND [OPTION...]");
  options.positional_help("");
  options.add_options()("daemon",
                        "A daemon's operators' address; or set "
                        "QUARTZHOIST_DAEMON",
                        cxxopts::value<std::string>(), "IP:PORT")(
      "json", "Print JSON")("new", "Let edit make a row that is not there")(
      "file", "Table file, for edit and plan", cxxopts::value<std::string>(),
      "FILE")(
      "base",
      "Refuse if the row was changed after this revision; by default the one "
      "just read, or the one that the file names",
      cxxopts::value<std::uint64_t>(),
      "N")("wait", "Wait until an edit is in force everywhere",
           cxxopts::value<double>()->implicit_value("60"),
           "SECONDS")("to", "Pool that a drained box goes to",
                      cxxopts::value<std::string>()->default_value(""),
                      "POOL")("h,help", "Show this help")(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

Invocation ToInvocation(const cxxopts::ParseResult& given) {
  Invocation invocation;
  invocation.words = given["words"].as<std::vector<std::string>>();
  invocation.words.erase(invocation.words.begin());
  invocation.json = given.count("json") > 0;
  invocation.new_row = given.count("new") > 0;
  if (given.count("file") > 0)
    invocation.file = given["file"].as<std::string>();
  if (given.count("base") > 0)
    invocation.base = given["base"].as<std::uint64_t>();
  if (given.count("wait") > 0)
    invocation.wait_seconds = given["wait"].as<double>();
  invocation.to_pool = given["to"].as<std::string>();
  return invocation;
}

std::string DaemonAddress(const cxxopts::ParseResult& given) {
  std::string address = kDefaultDaemon;
  if (const char* variable = std::getenv(kDaemonVariable))
    address = variable;
  if (given.count("daemon") > 0)
    address = given["daemon"].as<std::string>();
  if (!base::ParseIpAddress(address))
    throw CommandError(
        ExitCode::kUsage,
        fmt::format("'{}' is not an IP number and port", address));
  return address;
}

void RunCommand(const std::string& command, const cxxopts::ParseResult& given) {
  const Invocation invocation = ToInvocation(given);
  if (command == "check")
    return Check(invocation);
  for (const NamedCommand& known : kDaemonCommands) {
    if (known.name != command)
      continue;
    DaemonApi daemon(DaemonAddress(given));
    return known.run(daemon, invocation);
  }
  throw CommandError(ExitCode::kUsage,
                     fmt::format("there is no command '{}'; see "
                                 "'quartzhoist --help'",
                                 command));
}

ExitCode Main(int argc, char** argv) {
  cxxopts::Options options = MakeOptions();
  try {
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0 || given.count("words") == 0) {
      fmt::print("{}{}", options.help(), kHelp);
      return given.count("help") > 0 ? ExitCode::kOk : ExitCode::kUsage;
    }
    curl_global_init(CURL_GLOBAL_ALL);
    RunCommand(given["words"].as<std::vector<std::string>>().front(), given);
    return ExitCode::kOk;
  } catch (const CommandError& error) {
    fmt::print(stderr, "quartzhoist: {}\n", error.what());
    return error.code;
  } catch (const base::TextError& error) {
    fmt::print(stderr, "quartzhoist: {}\n", error.what());
    return ExitCode::kUsage;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "quartzhoist: {}; see 'quartzhoist --help'\n",
               error.what());
    return ExitCode::kUsage;
  } catch (const std::exception& error) {
    fmt::print(stderr, "quartzhoist: {}\n", error.what());
    return ExitCode::kFailed;
  }
}

}  // namespace

}  // namespace quartzhoist::client

int main(int argc, char** argv) {
  return static_cast<int>(quartzhoist::client::Main(argc, argv));
}
