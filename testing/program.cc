#include "testing/program.h"

#include <csignal>
#include <cstdio>

#include <curl/curl.h>
#include <fmt/format.h>

namespace quartzhoist::testing {

int RunProgram(cxxopts::Options options,
               int argc,
               char** argv,
               const std::function<int(const cxxopts::ParseResult&)>& body) {
  options.add_options()("h,help", "Show this help");
  std::signal(SIGPIPE, SIG_IGN);
  curl_global_init(CURL_GLOBAL_ALL);
  try {
    const cxxopts::ParseResult given = options.parse(argc, argv);
    if (given.count("help") > 0) {
      fmt::print("{}\n", options.help());
      return 0;
    }
    return body(given);
  } catch (const std::exception& error) {
    fmt::print(stderr, "{}: {}\n", options.program(), error.what());
    return 2;
  }
}

void RunUntilStopped(base::Loop& loop, int limit_seconds) {
  base::SignalWatcher on_term(loop, SIGTERM, [&loop] { loop.Stop(); });
  base::SignalWatcher on_interrupt(loop, SIGINT, [&loop] { loop.Stop(); });
  base::Timer limit(loop, [&loop] { loop.Stop(); });
  limit.StartOnce(std::chrono::seconds(limit_seconds));
  loop.Run();
}

void AnnouncePort(int port) {
  fmt::print("port {}\n", port);
  std::fflush(stdout);
}

}  // namespace quartzhoist::testing
