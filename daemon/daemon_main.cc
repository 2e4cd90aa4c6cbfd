// Entry point of quartzhoistd, the daemon that runs on every entry box.

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <string>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include <curl/curl.h>

#include "base/event_log.h"
#include "base/ini_file.h"
#include "entry/job_daemon.h"
#include "entry/settings.h"

namespace quartzhoist::daemon {

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

entry::Settings LoadSettings(const std::string& file) {
  std::ifstream in(file);
  if (!in)
    throw base::TextError(file, 0, "", "cannot be opened");
  return entry::ReadSettings(in, file);
}

int Main(int argc, char** argv) {
  cxxopts::Options options(
      "quartzhoistd",
      "Daemon of an entry box: accepts jobs, runs their tasks on leased "
      "workers, and moves boxes between pools.");
  options.add_options()("settings", "INI file with the settings",
                        cxxopts::value<std::string>(), "FILE")(
      "check", "Check the settings and exit")("h,help", "Show this help");
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
                 "quartzhoistd: --settings FILE is required; see "
                 "--help\n");
      return kExitUsage;
    }
    file = given["settings"].as<std::string>();
    only_check = given.count("check") > 0;
  } catch (const cxxopts::exceptions::exception& error) {
    fmt::print(stderr, "quartzhoistd: {}; see --help\n", error.what());
    return kExitUsage;
  }
  entry::Settings settings;
  try {
    settings = LoadSettings(file);
  } catch (const base::TextError& error) {
    base::Log(base::Event::kSettingsRejected, {{"problem", error.what()}});
    fmt::print(stderr, "quartzhoistd: {}\n", error.what());
    return kExitUsage;
  }
  if (only_check) {
    fmt::print("{}: ok\n{}", file,
               entry::DescribeDeployment(settings.deployment));
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_ALL);
  try {
    entry::JobDaemon(settings, file).Run();
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
