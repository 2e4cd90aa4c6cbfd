// The same requests straight to a target, through a bare forwarder on the same
// libraries, and through one daemon, side by side in one run.

#include <sys/types.h>
#include <unistd.h>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "testing/cluster.h"
#include "testing/program.h"

namespace {

using namespace quartzhoist;
using nlohmann::json;
using testing::Cluster;

constexpr const char* kTable = R"(
pool | boxes
p    | 1

service | pool | class  | away | deadline
s       | p    | urgent | 100% | 5000ms
)";

constexpr int kRounds = 3;

// Processor seconds and resident megabytes of a process, from the kernel.
struct Usage {
  double cpu_seconds = 0;
  double resident_mb = 0;
};

Usage UsageOf(pid_t pid) {
  std::ifstream stat(fmt::format("/proc/{}/stat", pid));
  std::string text;
  std::getline(stat, text);
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::vector<std::string> words;
  for (std::string word; fields >> word;)
    words.push_back(word);
  constexpr std::size_t kUserTicks = 11;
  constexpr std::size_t kSystemTicks = 12;
  constexpr std::size_t kResidentPages = 21;
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  return {.cpu_seconds =
              (std::stod(words[kUserTicks]) + std::stod(words[kSystemTicks])) /
              ticks,
          .resident_mb = std::stod(words[kResidentPages]) *
                         static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6};
}

struct Way {
  std::string name;
  std::string address;
  pid_t pid = 0;  // of the process between; 0: none
};

struct Sample {
  double rate = 0;
  double p50 = 0;
  double p99 = 0;
  double cpu_us = 0;  // of the process between, a request
  double resident_mb = 0;
};

Sample Measure(Cluster& cluster, const Way& way, int in_flight) {
  const Usage before = way.pid ? UsageOf(way.pid) : Usage{};
  const auto load =
      cluster.Start("testing/quartzhoist-load",
                    {"--to", way.address, "--path", "/s/x", "--in-flight",
                     std::to_string(in_flight), "--seconds", "1.5"});
  load->Wait(30);
  const Usage after = way.pid ? UsageOf(way.pid) : Usage{};
  const json out = json::parse(load->Output());
  const double answered = out.at("answered").get<double>();
  return {.rate = out.at("requests_a_second").get<double>(),
          .p50 = out.at("p50_us").get<double>(),
          .p99 = out.at("p99_us").get<double>(),
          .cpu_us = (after.cpu_seconds - before.cpu_seconds) * 1e6 / answered,
          .resident_mb = after.resident_mb};
}

double Median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

template <typename Member>
double MedianOf(const std::vector<Sample>& samples, Member member) {
  std::vector<double> values;
  for (const Sample& sample : samples)
    values.push_back(sample.*member);
  return Median(std::move(values));
}

void Run(const std::string& programs) {
  Cluster cluster({.programs = programs, .table = kTable});
  table::Box box;
  box.name = "t";
  box.zone = "z";
  box.rack = "r";
  box.pool = "p";
  box.slots = 256;
  cluster.AddTarget(box, {"--slots", "256"});
  cluster.StartPlatform();
  const testing::DaemonProcess& daemon = cluster.StartDaemon("e1", "z");
  cluster.WaitUntilFormed();
  const std::string target = cluster.targets().at("t").box.address;
  const auto forwarder =
      cluster.Start("testing/quartzhoist-forwarder", {"--to", target});
  const std::string port = forwarder->WaitForWord("port ");
  const std::vector<Way> ways{
      {"direct", target},
      {"forwarder", "127.0.0.1:" + port, forwarder->pid()},
      {"daemon", daemon.callers, daemon.process->pid()}};
  fmt::print("{:>9} {:<10} {:>10} {:>8} {:>8} {:>10} {:>9}\n", "in flight",
             "way", "requests/s", "p50 us", "p99 us", "cpu us/req", "res. MB");
  for (const int in_flight : {1, 16, 64}) {
    std::vector<std::vector<Sample>> samples(ways.size());
    std::vector<double> ratios;
    for (int round = 0; round < kRounds; ++round) {
      for (std::size_t i = 0; i < ways.size(); ++i)
        samples[i].push_back(Measure(cluster, ways[i], in_flight));
      ratios.push_back(samples[2].back().cpu_us / samples[1].back().cpu_us);
    }
    for (std::size_t i = 0; i < ways.size(); ++i)
      fmt::print(
          "{:>9} {:<10} {:>10.0f} {:>8.0f} {:>8.0f} {:>10.1f} {:>9.1f}\n",
          in_flight, ways[i].name, MedianOf(samples[i], &Sample::rate),
          MedianOf(samples[i], &Sample::p50),
          MedianOf(samples[i], &Sample::p99),
          MedianOf(samples[i], &Sample::cpu_us),
          MedianOf(samples[i], &Sample::resident_mb));
    fmt::print(
        "{:>9} processor time a request, daemon / forwarder, median of "
        "{} pairs: {:.2f}\n",
        in_flight, kRounds, Median(ratios));
  }
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-path", "Measures the request path");
  options.add_options()("programs", "The build folder",
                        cxxopts::value<std::string>());
  return testing::RunProgram(std::move(options), argc, argv,
                             [](const cxxopts::ParseResult& given) {
                               Run(given["programs"].as<std::string>());
                               return 0;
                             });
}
