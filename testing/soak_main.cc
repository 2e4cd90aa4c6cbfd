// Plays soaks of the given seeds; a failing one prints its schedule.

#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <cxxopts.hpp>

#include "testing/fleet_soak.h"
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

bool PlayFleet(const std::string& programs,
               const testing::SoakForm& form,
               std::uint64_t seed,
               base::Micros length,
               const std::vector<testing::FleetFault>& among,
               const std::string& keep) {
  const auto schedule = testing::DrawFleetSchedule(seed, length, among);
  testing::FleetSoak soak(programs, form, schedule, seed);
  soak.Run(length);
  const auto broken = soak.Broken();
  fmt::print("fleet seed {}: {}: {}\n", seed, soak.Summary(),
             broken.empty() ? "kept" : "BROKEN");
  for (const std::string& fault : broken)
    fmt::print("  {}\n", fault);
  for (const testing::FleetEvent& event : schedule) {
    if (!broken.empty())
      fmt::print("    {}\n", testing::TextOf(event));
  }
  if (!broken.empty() && !keep.empty())
    soak.CopyLogs(fmt::format("{}/seed-{}", keep, seed));
  std::fflush(stdout);
  return broken.empty();
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-soak", "Plays seeded faults.");
  options.add_options()("programs", "build folder",
                        cxxopts::value<std::string>())(
      "first", "first seed", cxxopts::value<std::uint64_t>())(
      "last", "last seed", cxxopts::value<std::uint64_t>())(
      "seconds", "length of each", cxxopts::value<int>())(
      "form", "faults, fleet, epochs (a fleet that checks them) or large",
      cxxopts::value<std::string>()->default_value("faults"))(
      "among", "faults that a fleet's schedule is drawn from; empty: all",
      cxxopts::value<std::vector<std::string>>()->default_value(""))(
      "keep", "folder for the logs of failing seeds",
      cxxopts::value<std::string>()->default_value(""));
  try {
    const auto given = options.parse(argc, argv);
    const auto last = given["last"].as<std::uint64_t>();
    const auto length = std::chrono::seconds(given["seconds"].as<int>());
    int broken = 0;
    const auto programs = given["programs"].as<std::string>();
    const auto form = given["form"].as<std::string>();
    testing::SoakForm size =
        form == "large" ? testing::kLargeForm : testing::SoakForm{};
    size.epochs_checked = form == "epochs";
    std::vector<testing::FleetFault> among;
    for (const auto& name : given["among"].as<std::vector<std::string>>()) {
      for (const auto& named : testing::kFleetFaultNames) {
        if (name == named.name)
          among.push_back(named.value);
      }
    }
    for (auto seed = given["first"].as<std::uint64_t>(); seed <= last; ++seed) {
      if (form == "faults")
        broken += !Play(programs, seed, length);
      else
        broken += !PlayFleet(programs, size, seed, length, among,
                             given["keep"].as<std::string>());
    }
    return broken == 0 ? 0 : 1;
  } catch (const std::exception& problem) {
    fmt::print(stderr, "{}\n{}", problem.what(), options.help());
    return 2;
  }
}
