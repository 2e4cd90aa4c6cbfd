// Crowds of clients in a series, which overlap with signals, changes of the
// settings and restarts. By hand, QUARTZHOIST_CROWD_SEEDS=FIRST-LAST plays
// other seeds.

#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "testing/crowd_fixture.h"

namespace quartzhoist::testing {
namespace {

constexpr int kSteps = 14;
constexpr std::size_t kMostCrowds = 6;

enum class Step {
  kBegin,
  kEnd,
  kChangeLimits,
  kSuspend,
  kStop,
  kKill,
};

struct Series : CrowdFixture {
  explicit Series(std::uint64_t seed) : random(seed) {
    std::ifstream in(this->Target().settings);
    this->first_settings.assign(std::istreambuf_iterator<char>(in), {});
  }

  int Draw(int first, int last) {
    return std::uniform_int_distribution<int>(first, last)(this->random);
  }

  // Beginnings are the most frequent, and some crowd is there from the first
  // step on.
  Step DrawStep() {
    if (this->crowds.empty())
      return Step::kBegin;
    const auto drawn =
        std::discrete_distribution<int>({6, 2, 2, 1, 1, 1})(this->random);
    return static_cast<Step>(drawn);
  }

  void Begin() {
    const JobCluster::Daemon& daemon = this->Target();
    const std::vector<std::string> addresses = {
        daemon.callers, daemon.callers, daemon.readiness, daemon.metrics};
    const std::vector<std::string> messages = {
        "",
        "GET /q/ HTTP/1.1\r\nHost: jobs.example\r\nX-Filler: ",
        AnnouncedBody(kLegalBody, kLegalBody - 1),
        AnnouncedBody(900'000'000, 2'000'000),
        UnendedChunks(65'536, kLegalBody),
        UnendedChunks(65'536, 3 << 20),
        UnendedChunks(1, 100'000),
    };
    const auto pick = [this](const std::vector<std::string>& from) {
      return from[static_cast<std::size_t>(
          this->Draw(0, static_cast<int>(from.size()) - 1))];
    };
    CrowdPlan plan{.address = pick(addresses),
                   .connections = this->Draw(20, 150),
                   .message = pick(messages)};
    plan.reconnects = this->Draw(0, 1) == 1;
    plan.byte_interval = std::chrono::milliseconds(this->Draw(0, 3) == 0);
    this->crowds.push_back(std::make_unique<ClientCrowd>(std::move(plan)));
    if (this->crowds.size() > kMostCrowds)
      this->crowds.erase(this->crowds.begin());
  }

  void ChangeLimits() {
    std::ofstream(this->Target().settings)
        << this->first_settings
        << fmt::format(
               "max_connections = {}\nrequest_bytes = {}\n"
               "transfer_seconds = {}\nidle_seconds = {}\n",
               this->Draw(8, 400), this->Draw(10'000'000, 16'000'000),
               this->Draw(1, 30), this->Draw(1, 60));
    this->Target().process->Signal(SIGHUP);
  }

  // The crowds keep their connections until the process is gone.
  void Restart(int signal) {
    this->ExpectBounds();
    Process& ending = *this->Target().process;
    ending.Signal(signal);
    BOOST_TEST(this->cluster.WaitUntil(kTimeoutSeconds,
                                       [&] { return !ending.running(); }));
    if (signal == SIGTERM)
      BOOST_TEST(ending.Wait(1).value_or(-1) == 0);
    this->crowds.clear();
    this->cluster.StartDaemon(kDaemon);
    this->WaitUntilReady(kDaemon);
  }

  void Take(Step step) {
    switch (step) {
      case Step::kBegin:
        this->Begin();
        break;
      case Step::kEnd:
        this->crowds.erase(this->crowds.begin());
        break;
      case Step::kChangeLimits:
        this->ChangeLimits();
        break;
      case Step::kSuspend:
        this->Target().process->Signal(SIGSTOP);
        this->Wait(std::chrono::milliseconds(this->Draw(50, 1500)));
        this->Target().process->Signal(SIGCONT);
        break;
      case Step::kStop:
        this->Restart(SIGTERM);
        break;
      case Step::kKill:
        this->Restart(SIGKILL);
        break;
    }
  }

  void Play() {
    for (int i = 0; i < kSteps; ++i) {
      this->Take(this->DrawStep());
      const base::Micros until =
          base::MonotonicNow() + std::chrono::milliseconds(this->Draw(0, 400));
      this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
        this->Observe();
        return base::MonotonicNow() > until;
      });
      // On the connection that this caller keeps.
      this->cluster.Call(kDaemon, "GET", JobId(1));
    }
    const JobCluster::Daemon& daemon = this->Target();
    this->ExpectAnswer(daemon.callers, "/q/" + JobId(1));
    this->ExpectAnswer(daemon.readiness, "/ready");
    this->ExpectAnswer(daemon.metrics, "/metrics");
    this->crowds.clear();
    this->ExpectJobIsAccepted();
    this->ExpectBounds();
  }

  std::mt19937_64 random;
  std::string first_settings;
  std::vector<std::unique_ptr<ClientCrowd>> crowds;
};

std::pair<std::uint64_t, std::uint64_t> Seeds() {
  const char* text = std::getenv("QUARTZHOIST_CROWD_SEEDS");
  if (!text)
    return {1, 3};
  const std::string range = text;
  return {std::stoull(range), std::stoull(range.substr(range.find('-') + 1))};
}

BOOST_AUTO_TEST_CASE(CrowdsInSeriesStayBounded) {
  const auto [first, last] = Seeds();
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      Series(seed).Play();
    }
    BOOST_TEST_MESSAGE(fmt::format("seed {} played", seed));
  }
}

}  // namespace
}  // namespace quartzhoist::testing
