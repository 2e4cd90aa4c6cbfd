// What control costs a daemon, measured on real daemons: as many as asked for,
// against the platform's stand-in with as many box rows as asked for, while
// the table is edited at the rate to design for.

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "bench/fleet_sim.h"
#include "client/daemon_api.h"
#include "table/edit_json.h"
#include "table/text.h"
#include "testing/cluster.h"
#include "testing/program.h"

namespace {

using namespace quartzhoist;
using nlohmann::json;
using testing::Cluster;

constexpr double kSettleSeconds = 6;
constexpr double kWindowSeconds = 20;
constexpr double kEditsASecond = 24'000.0 / 86'400;
constexpr int kZones = 9;

// A daemon's counters that the page is about.
struct Reading {
  double control_cpu = 0;
  double sent = 0;
  double received = 0;
  double platform_bytes = 0;
  double platform_reads = 0;
  double platform_writes = 0;
  double resident = 0;
};

double Value(const std::string& text, const std::string& name) {
  const std::string line = "\n" + name + " ";
  const std::size_t at = text.find(line);
  return at == std::string::npos ? 0 : std::stod(text.substr(at + line.size()));
}

Reading Read(const testing::DaemonProcess& daemon) {
  const std::string text = Cluster::GetText(daemon.operators, "/metrics");
  return {
      .control_cpu = Value(text, "quartzhoist_control_cpu_seconds"),
      .sent = Value(text, "quartzhoist_control_bytes_sent_total"),
      .received = Value(text, "quartzhoist_control_bytes_received_total"),
      .platform_bytes = Value(text, "quartzhoist_platform_bytes_sent") +
                        Value(text, "quartzhoist_platform_bytes_received"),
      .platform_reads = Value(text, "quartzhoist_platform_reads_total"),
      .platform_writes = Value(text, "quartzhoist_platform_writes_total"),
      .resident = Value(text, "quartzhoist_resident_bytes"),
  };
}

std::vector<Reading> ReadAll(Cluster& cluster) {
  std::vector<Reading> readings;
  for (const auto& [id, daemon] : cluster.daemons())
    readings.push_back(Read(daemon));
  return readings;
}

// Edits one cell and waits until every daemon has it; seconds.
double EditOnce(Cluster& cluster, int number) {
  const testing::DaemonProcess& daemon = cluster.daemons().begin()->second;
  client::DaemonApi api(daemon.operators);
  const table::Edit edit{
      .base = api.Get("/v1/members").at("revision").get<table::Version>(),
      .changes = {{.row = "service/s0",
                   .cells = {{"queue", std::to_string(100 + number)}}}}};
  const auto begin = std::chrono::steady_clock::now();
  const json accepted = api.Post("/v1/edit", table::EncodeEdit(edit));
  const auto revision = accepted.at("revision").get<table::Version>();
  Cluster::WaitUntil(30, [&] {
    return std::all_of(cluster.daemons().begin(), cluster.daemons().end(),
                       [&](const auto& entry) {
                         const std::string text = Cluster::GetText(
                             entry.second.operators, "/metrics");
                         return Value(text, "quartzhoist_revision") >=
                                static_cast<double>(revision);
                       });
  });
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - begin)
      .count();
}

void Sleep(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void Measure(const std::string& programs, int daemons, int boxes, int pools) {
  const table::SnapshotPtr fleet =
      bench::MakeFleet({.pools = pools, .boxes = boxes, .zones = kZones});
  // Nothing is due, so that only the edits and the watching are measured.
  table::Rows rows = fleet->rows();
  for (auto& [id, row] : rows) {
    if (auto* pool = std::get_if<table::PoolRow>(&row))
      pool->maintain = 0;
  }
  Cluster cluster({.programs = programs, .table = table::WriteText(rows)});
  for (const auto& [name, box] : fleet->boxes()) {
    table::Box row = box;
    row.address = "127.0.0.1:9";
    cluster.AddBoxRow(row);
  }
  cluster.StartPlatform();
  for (int i = 0; i < daemons; ++i)
    cluster.StartDaemon(fmt::format("e{:03}", i),
                        fmt::format("z{}", i % std::min(kZones, daemons)));
  const bool formed = cluster.WaitUntilFormed();
  Sleep(kSettleSeconds);
  const std::vector<Reading> before = ReadAll(cluster);
  const auto begin = std::chrono::steady_clock::now();
  const auto elapsed = [&begin] {
    return std::chrono::duration<double>(std::chrono::steady_clock::now() -
                                         begin)
        .count();
  };
  double slowest = 0;
  int edits = 0;
  while (elapsed() < kWindowSeconds) {
    slowest = std::max(slowest, EditOnce(cluster, edits++));
    const double next = edits / kEditsASecond;
    if (next > elapsed())
      Sleep(next - elapsed());
  }
  const double window = elapsed();
  const std::vector<Reading> after = ReadAll(cluster);
  const auto most = [&](auto Reading::*member) {
    double value = 0;
    for (std::size_t i = 0; i < after.size(); ++i)
      value = std::max(value, after[i].*member - before[i].*member);
    return value / window;
  };
  const auto sum = [&](auto Reading::*member) {
    double value = 0;
    for (std::size_t i = 0; i < after.size(); ++i)
      value += after[i].*member - before[i].*member;
    return value / window;
  };
  double resident = 0;
  for (const Reading& reading : after)
    resident = std::max(resident, reading.resident);
  fmt::print(
      "{:>7} {:>6} {:>5} {:>7.3f}% {:>8.2f} {:>8.2f} {:>9.2f} {:>9.1f} "
      "{:>7.1f} {:>7.1f} {:>9.2f}{}\n",
      daemons, boxes, pools, most(&Reading::control_cpu) * 100,
      most(&Reading::sent) / 1e3, most(&Reading::received) / 1e3,
      most(&Reading::platform_bytes) / 1e3, resident / 1e6,
      sum(&Reading::platform_reads), sum(&Reading::platform_writes), slowest,
      formed ? "" : "  NOT FORMED");
  std::fflush(stdout);
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-capacity", "What control costs");
  options.add_options()("programs", "The build folder",
                        cxxopts::value<std::string>());
  return testing::RunProgram(
      std::move(options), argc, argv, [](const cxxopts::ParseResult& given) {
        const std::string programs = given["programs"].as<std::string>();
        fmt::print(
            "Most of any daemon: control cpu, KB/s to and from peers, KB/s "
            "with the platform,\nresident MB; of all together: platform reads "
            "and writes a second; seconds from\nan edit's submission until "
            "every daemon had it (longest of the window)\n");
        fmt::print(
            "{:>7} {:>6} {:>5} {:>8} {:>8} {:>8} {:>9} {:>9} {:>7} "
            "{:>7} {:>9}\n",
            "daemons", "boxes", "pools", "cpu", "sent", "received", "platform",
            "resident", "reads", "writes", "in force");
        for (const int boxes : {50, 1850, 3700, 7400})
          Measure(programs, 9, boxes, std::max(10, boxes * 251 / 7400));
        for (const int daemons : {3, 27, 81})
          Measure(programs, daemons, 7400, 251);
        return 0;
      });
}
