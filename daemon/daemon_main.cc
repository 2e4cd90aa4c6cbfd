// quartzhoistd: one process of the system, the same on every entry box.

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <variant>
#include <vector>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include <curl/curl.h>

#include "base/event_log.h"
#include "base/ini_file.h"
#include "daemon/control.h"
#include "daemon/gateway.h"
#include "daemon/settings.h"
#include "entry/job_daemon.h"
#include "entry/settings.h"

namespace quartzhoist::daemon {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

// A daemon for requests, or one for jobs: the settings say which.
using AnySettings = std::variant<Settings, entry::Settings>;

std::ifstream Open(const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw base::TextError(file, 0, "", "cannot be opened");
  return in;
}

AnySettings LoadSettings(const std::string& file) {
  std::ifstream first = Open(file);
  const std::vector<base::IniEntry> entries = base::ReadIni(first, file);
  const bool has_store = std::any_of(
      entries.begin(), entries.end(),
      [](const base::IniEntry& entry) { return entry.section == "store"; });
  std::ifstream in = Open(file);
  if (has_store)
    return entry::ReadSettings(in, file);
  return ReadSettings(in, file);
}

void RunDaemon(const Settings& settings, const std::string& /*file*/) {
  base::Counters counters;
  // Each task tells the other by its mailbox; both exist before either runs.
  std::unique_ptr<Gateway> gateway;
  Control control(settings, counters, [&gateway](ToTraffic message) {
    gateway->Post(std::move(message));
  });
  gateway = std::make_unique<Gateway>(
      settings, counters,
      [&control](ToControl message) { control.Post(std::move(message)); });
  base::Log(base::Event::kDaemonStarted,
            {{"id", settings.id},
             {"zone", settings.zone},
             {"callers_port", gateway->port()},
             {"operators_port", control.operators_port()},
             {"peers", control.peers_address()}});
  std::thread traffic([&gateway] { gateway->Run(); });
  control.Run();
  traffic.join();
  // What it still tells the control task must find it alive.
  gateway.reset();
  base::Log(base::Event::kDaemonStopped, {});
}

void RunDaemon(const entry::Settings& settings, const std::string& file) {
  entry::JobDaemon(settings, file).Run();
}

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "quartzhoistd",
      "The daemon of an entry box: carries callers' requests to targets, and "
      "moves boxes between pools as the operators' table says.");
  options.add_options()("settings", "INI file with the settings",
                        cxxopts::value<std::string>(), "FILE")(
      "check", "Check the settings and end")("h,help", "Show this help");
  std::string file;
  bool only_check = false;
  try {
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      fmt::print(
          "{}\nExample:\n  quartzhoistd --settings "
          "/etc/quartzhoist/quartzhoistd.ini\n",
          options.help());
      return kExitOk;
    }
    if (given.count("settings") == 0) {
      fmt::print(stderr,
                 "quartzhoistd: --settings FILE is needed; see "
                 "--help\n");
      return kExitUsage;
    }
    file = given["settings"].as<std::string>();
    only_check = given.count("check") > 0;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "quartzhoistd: {}; see --help\n", error.what());
    return kExitUsage;
  }
  AnySettings settings;
  try {
    settings = LoadSettings(file);
  } catch (const base::TextError& error) {
    base::Log(base::Event::kSettingsRejected, {{"problem", error.what()}});
    fmt::print(stderr, "quartzhoistd: {}\n", error.what());
    return kExitUsage;
  }
  if (only_check) {
    fmt::print("{}: ok\n", file);
    if (const auto* entry = std::get_if<entry::Settings>(&settings))
      fmt::print("{}", entry::Describe(entry->deployment));
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_ALL);
  try {
    std::visit([&file](const auto& chosen) { RunDaemon(chosen, file); },
               settings);
  } catch (const std::exception& error) {
    base::Log(base::Event::kDaemonFailed, {{"problem", error.what()}});
    return kExitFailed;
  }
  return kExitOk;
}

}  // namespace

}  // namespace quartzhoist::daemon

int main(int argc, char** argv) {
  return quartzhoist::daemon::Main(argc, argv);
}
