// quartzhoist: the operators' client.

#include <cstdio>
#include <exception>
#include <string>
#include <vector>

#include <curl/curl.h>
#include <fmt/format.h>
#include <cxxopts.hpp>

#include "base/ini_file.h"
#include "client/commands.h"
#include "client/daemon_api.h"

namespace quartzhoist::client {

namespace {

constexpr const char* kHelp = R"(
Commands:
  check FILE          check a table file, without any daemon
  status DAEMON ...   what each daemon schedules
  dump DAEMON         one daemon's whole state
  explain JOB DAEMON  why a job's tasks wait, as the daemon knows it

DAEMON is the metrics address of a daemon, an IP number and port.

Examples:
  quartzhoist check examples/thenkoodu.table
  quartzhoist status 10.0.0.1:8082 10.0.0.2:8082 10.0.0.3:8082
  quartzhoist dump 10.0.0.1:8082 --json
  quartzhoist explain --key-file bees.key 5c0e7a21d94b36f8 10.0.0.1:8082

Where organisations are configured, explain needs an access key of the job's
organisation: in the file that --key-file names, or "-" for the standard input.

Exit codes: 0 done, 1 failed, 2 usage or a faulty file, 3 the table would not
hold together, 5 a daemon is out of reach.
)";

cxxopts::Options MakeOptions() {
  cxxopts::Options options("quartzhoist", "Looks at the fleet and its table.");
  options.custom_help("COMMAND [OPTION...]");
  options.positional_help("");
  options.add_options()("json", "Print JSON")("h,help", "Show this help")(
      "key-file", "File with the access key; - for the standard input",
      cxxopts::value<std::string>()->default_value(""))(
      "words", "", cxxopts::value<std::vector<std::string>>());
  options.parse_positional({"words"});
  return options;
}

std::string OnlyWord(const std::vector<std::string>& words, const char* what) {
  if (words.size() != 1)
    throw CommandError(
        ExitCode::kUsage,
        fmt::format("name one {}; see 'quartzhoist --help'", what));
  return words.front();
}

void RunCommand(std::vector<std::string> words,
                const std::string& key_file,
                bool json) {
  const std::string command = words.front();
  words.erase(words.begin());
  if (command == "check")
    return Check(OnlyWord(words, "table file"), json);
  if (command == "dump")
    return Dump(OnlyWord(words, "daemon"), json);
  constexpr std::size_t kExplainWords = 2;
  if (command == "explain" && words.size() == kExplainWords)
    return Explain(words[0], words[1], key_file, json);
  if (command == "explain")
    throw CommandError(ExitCode::kUsage,
                       "name a job and a daemon; see 'quartzhoist --help'");
  if (command == "status" && !words.empty())
    return Status(words, json);
  if (command == "status")
    throw CommandError(ExitCode::kUsage,
                       "name the daemons; see 'quartzhoist --help'");
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
    RunCommand(given["words"].as<std::vector<std::string>>(),
               given["key-file"].as<std::string>(), given.count("json") > 0);
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
