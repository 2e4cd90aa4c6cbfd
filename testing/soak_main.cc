// Plays soaks of the given seeds; a failing one prints its schedule.

#include <chrono>
#include <cstdio>
#include <string>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "testing/program.h"
#include "testing/soak.h"

namespace {

using namespace quartzhoist;

bool Play(const std::string& programs,
          std::uint64_t seed,
          base::Micros length) {
  const auto schedule = testing::DrawSchedule(seed, length);
  testing::Soak soak(programs, schedule);
  soak.Run(length);
  fmt::print(
      "seed {}: {} faults, {} jobs accepted, {} refused, {} of them by "
      "their wait: {}\n",
      seed, schedule.size(), soak.accepted(), soak.refused(), soak.rejected(),
      soak.broken().empty() ? "kept" : "BROKEN");
  if (!soak.broken().empty()) {
    for (const std::string& fault : soak.broken())
      fmt::print("  {}\n", fault);
    for (const testing::SoakEvent& event : schedule)
      fmt::print("    {}\n", testing::TextOf(event));
  }
  std::fflush(stdout);
  return soak.broken().empty();
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-soak", "Plays seeded faults.");
  options.add_options()("programs", "build folder",
                        cxxopts::value<std::string>())(
      "first", "first seed", cxxopts::value<std::uint64_t>())(
      "last", "last seed", cxxopts::value<std::uint64_t>())(
      "seconds", "length of each", cxxopts::value<int>());
  try {
    const auto given = options.parse(argc, argv);
    const auto last = given["last"].as<std::uint64_t>();
    const auto length = std::chrono::seconds(given["seconds"].as<int>());
    int broken = 0;
    for (auto seed = given["first"].as<std::uint64_t>(); seed <= last; ++seed)
      broken += !Play(given["programs"].as<std::string>(), seed, length);
    return broken == 0 ? 0 : 1;
  } catch (const std::exception& problem) {
    fmt::print(stderr, "{}\n{}", problem.what(), options.help());
    return 2;
  }
}
