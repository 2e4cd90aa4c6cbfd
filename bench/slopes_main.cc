// What one operation of each role costs at growing sizes, and whether the
// growth is a line.

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "bench/fleet_sim.h"
#include "daemon/state_json.h"
#include "dispatch/dispatcher.h"
#include "dispatch/routes.h"
#include "membership/membership.h"
#include "peer/message.h"
#include "placement/placer.h"
#include "platform/wire.h"
#include "table/codec.h"
#include "testing/program.h"
#include "waves/planner.h"

namespace {

using namespace quartzhoist;

constexpr int kRuns = 21;

double MedianMicros(const std::function<void()>& call) {
  std::vector<double> times;
  for (int i = 0; i < kRuns; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    call();
    times.push_back(std::chrono::duration<double, std::micro>(
                        std::chrono::steady_clock::now() - begin)
                        .count());
  }
  std::sort(times.begin(), times.end());
  return times[kRuns / 2];
}

// Least squares: cost = base + slope x size, and how well that fits.
struct Fit {
  double base = 0;
  double slope = 0;
  double r2 = 0;
};

Fit FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  double sx = 0, sy = 0, sxx = 0, sxy = 0, syy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sx += x[i];
    sy += y[i];
    sxx += x[i] * x[i];
    sxy += x[i] * y[i];
    syy += y[i] * y[i];
  }
  const double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  const double covariance = n * sxy - sx * sy;
  return {.base = (sy - slope * sx) / n,
          .slope = slope,
          .r2 = covariance * covariance /
                ((n * sxx - sx * sx) * (n * syy - sy * sy))};
}

void Report(const std::string& name,
            const std::string& unit,
            const std::vector<double>& sizes,
            const std::function<double(double)>& cost) {
  std::vector<double> costs;
  std::string shown;
  for (const double size : sizes) {
    costs.push_back(cost(size));
    shown += fmt::format("{:>6.0f}: {:<9.2f}", size, costs.back());
  }
  const Fit fit = FitLine(sizes, costs);
  fmt::print("{:<34} {:<8} {} base {:.2f}, slope {:.5f}, r2 {:.3f}{}\n", name,
             unit, shown, fit.base, fit.slope, fit.r2,
             fit.r2 < 0.98 ? "  NOT A LINE" : "");
  std::fflush(stdout);
}

table::SnapshotPtr FleetOf(double boxes) {
  const int count = static_cast<int>(boxes);
  return bench::MakeFleet(
      {.pools = std::max(2, count * 251 / 7400), .boxes = count, .zones = 9});
}

table::Delta OneRow(const table::SnapshotPtr& snapshot,
                    const std::string& key,
                    const std::string& value) {
  const table::Version next = snapshot->revision() + 1;
  return {.after = snapshot->revision(),
          .upto = next,
          .rows = {{key, next, "w", value}}};
}

double ApplyTableRow(double boxes) {
  const table::SnapshotPtr snapshot = FleetOf(boxes);
  const table::Delta delta =
      OneRow(snapshot, table::RowKey("pool/p0"),
             table::EncodeRow(*snapshot->FindPool("p0")));
  return MedianMicros([&] { table::Snapshot::Apply(snapshot, delta); });
}

double ApplyBoxRow(double boxes) {
  const table::SnapshotPtr snapshot = FleetOf(boxes);
  const table::Box box = snapshot->boxes().begin()->second;
  const table::Delta delta =
      OneRow(snapshot, table::BoxKey(box.name), table::EncodeBox(box));
  return MedianMicros([&] { table::Snapshot::Apply(snapshot, delta); });
}

dispatch::RoutesPtr RoutesOf(const table::Snapshot& snapshot) {
  return dispatch::BuildRoutes(
      snapshot, {.self = "e0", .zone = "z0", .zone_members = {"e0", "e1"}});
}

double BuildRoutes(double boxes) {
  const table::SnapshotPtr snapshot = FleetOf(boxes);
  return MedianMicros([&] { RoutesOf(*snapshot); });
}

double InstallRoutes(double boxes) {
  const dispatch::RoutesPtr routes = RoutesOf(*FleetOf(boxes));
  dispatch::Dispatcher dispatcher(1);
  dispatch::Actions actions;
  return MedianMicros([&] {
    dispatcher.Install(routes, std::chrono::seconds(1), actions);
    actions.clear();
  });
}

double PlanEverything(double boxes) {
  const table::SnapshotPtr snapshot = FleetOf(boxes);
  const waves::Facts facts;
  return MedianMicros([&] { waves::PlanAll(waves::Fleet(snapshot, facts)); });
}

double DispatchOne(double targets) {
  auto routes = std::make_shared<dispatch::Routes>();
  routes->services = {{.name = "s", .pool = "p"}};
  for (int i = 0; i < static_cast<int>(targets); ++i)
    routes->targets.push_back(
        {.name = fmt::format("t{}", i), .pool = "p", .share = 8});
  dispatch::Dispatcher dispatcher(1);
  dispatch::Actions actions;
  const base::Micros now = std::chrono::seconds(1);
  dispatcher.Install(routes, now, actions);
  constexpr int kRequests = 200;
  return MedianMicros([&] {
           for (int i = 0; i < kRequests; ++i) {
             actions.clear();
             const dispatch::RequestId id = dispatcher.Arrive(
                 {.service = "s", .deadline = now + std::chrono::seconds(5)},
                 now, actions);
             dispatcher.Settle({.request = id}, now, actions);
           }
         }) /
         kRequests;
}

// One second of a daemon's membership among so many, by the paces of the
// design: heartbeats heard and sent, and the ticks.
double MembershipSecond(double daemons) {
  const int count = static_cast<int>(daemons);
  membership::Membership members({.id = "e0", .zone = "z0"}, {});
  base::Micros now = std::chrono::seconds(100);
  const auto hear = [&](int i) {
    const std::string datagram =
        peer::Encode({.cluster = "c",
                      .sender = fmt::format("e{}", i),
                      .zone = fmt::format("z{}", i % 9),
                      .incarnation = 1,
                      .body = peer::Heartbeat{.revision = 5}});
    const peer::Message message = peer::Decode(datagram);
    members.Hear({.sender = {.id = message.sender,
                             .zone = message.zone,
                             .incarnation = message.incarnation},
                  .address = fmt::format("10.0.0.{}:1", i)},
                 now);
  };
  return MedianMicros([&] {
    now += std::chrono::seconds(1);
    for (int i = 1; i < count; ++i) {
      if (i % 9 == 0 || i % 4 == 0)
        hear(i);
    }
    members.Tick(now);
    members.DueHeartbeats(now);
  });
}

double HeartbeatBytes(double acks) {
  peer::Heartbeat heartbeat{.revision = 123'456'789};
  for (int i = 0; i < static_cast<int>(acks); ++i)
    heartbeat.drained.push_back({fmt::format("p12-{:03}", i), 123'456'789});
  return static_cast<double>(peer::Encode({.cluster = "thenkoodu",
                                           .sender = "entry-1",
                                           .zone = "hall-1",
                                           .incarnation = 1'796'214'296'356'237,
                                           .body = heartbeat})
                                 .size());
}

double DecodeRows(double rows) {
  const std::string text = platform::EncodeDelta(FleetOf(rows)->Since(0));
  return MedianMicros([&] { platform::DecodeDelta(text); });
}

double DecodeBoxList(double boxes) {
  platform::BoxList list{.version = 1};
  const table::SnapshotPtr snapshot = FleetOf(boxes);
  for (const auto& [name, box] : snapshot->boxes())
    list.boxes.push_back({.name = name, .zone = box.zone});
  const std::string text = platform::EncodeBoxes(list);
  return MedianMicros([&] { platform::DecodeBoxes(text); });
}

// What a status answer costs; a dump's targets are made the same way.
double StatusText(double boxes) {
  const table::SnapshotPtr snapshot = FleetOf(boxes);
  return MedianMicros([&] {
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, box] : snapshot->boxes())
      list.push_back(daemon::BoxJson(box));
    const std::string text = list.dump();
  });
}

double CountersText(double /*boxes*/) {
  const base::Counters counters;
  return MedianMicros([&] { base::PrometheusText(counters); });
}

double PlaceRound(double boxes) {
  const table::SnapshotPtr snapshot = FleetOf(boxes);
  placement::SizeModel sizes;
  placement::Input input{.sizes = &sizes};
  input.teams["t"] = {.name = "t", .cores = 1'000'000};
  for (const auto& [name, box] : snapshot->boxes()) {
    if (box.pool == "p0")
      input.boxes.push_back({.box = &box});
  }
  std::vector<placement::Job> jobs(input.boxes.size());
  for (std::size_t i = 0; i < jobs.size(); ++i)
    jobs[i] = {.id = fmt::format("j{}", i),
               .kind = "k",
               .team = "t",
               .pool = "p0",
               .declared = {.cores = 4, .memory_mb = 1000}};
  for (const placement::Job& job : jobs)
    input.jobs.push_back(&job);
  return MedianMicros([&] { placement::Place(input); });
}

}  // namespace

int main(int argc, char** argv) {
  cxxopts::Options options("quartzhoist-slopes", "Costs by size");
  return testing::RunProgram(
      std::move(options), argc, argv, [](const cxxopts::ParseResult&) {
        const std::vector<double> boxes{500, 1850, 3700, 7400};
        const std::vector<double> targets{4, 16, 64, 256};
        const std::vector<double> daemons{9, 27, 81, 162};
        Report("follower: apply a table row", "us/boxes", boxes, ApplyTableRow);
        Report("follower: apply a box row", "us/boxes", boxes, ApplyBoxRow);
        Report("follower: build routes", "us/boxes", boxes, BuildRoutes);
        Report("dispatch: install routes", "us/boxes", boxes, InstallRoutes);
        Report("waves: full plan", "us/boxes", boxes, PlanEverything);
        Report("dispatch: one request", "us/targ.", targets, DispatchOne);
        Report("membership: one second", "us/daem.", daemons, MembershipSecond);
        Report("membership: a heartbeat", "B/acks", {0, 2, 8, 32},
               HeartbeatBytes);
        Report("platform client: decode rows", "us/rows", boxes, DecodeRows);
        Report("platform client: decode box list", "us/boxes", boxes,
               DecodeBoxList);
        Report("operators: status", "us/boxes", boxes, StatusText);
        Report("counters: metrics", "us/boxes", boxes, CountersText);
        Report("placement: a round of one pool", "us/boxes", boxes, PlaceRound);
        return 0;
      });
}
