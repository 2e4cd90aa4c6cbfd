// Cancellations that are acknowledged before the job's submission is carried
// out.

#include <chrono>
#include <csignal>
#include <optional>
#include <string>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "entry/tables.h"
#include "http/client.h"
#include "testing/caller_bench.h"
#include "testing/cluster_fixture.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::CallerBench;
using testing::ClusterFixture;
using testing::JobId;
using testing::kBody;
using testing::kJobId;
using testing::kJobPath;
using testing::kTimeoutSeconds;
using Mood = testing::StoreStandin::Mood;

// Guards against a job that runs after its cancel was acknowledged: nothing in
// the store kept a later submission of the id from being accepted.
BOOST_AUTO_TEST_CASE(JobCancelledBeforeItsSubmissionIsNotStored) {
  CallerBench bench;
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 410);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody).status == 410);
  BOOST_TEST(bench.Call("GET", kJobPath).status == 410);
  BOOST_TEST(bench.standin.Value(JobRow(kJobId, {})).empty());
  // Jobs of other ids are taken.
  BOOST_TEST(bench.Call("POST", "/p/0000000000000001", kBody).status == 200);
}

// Guards against the same where the write of the submission was on its way to
// the store for longer than the caller waited.
BOOST_AUTO_TEST_CASE(LateWriteOfACancelledJobIsNotDone) {
  CallerBench bench;
  // All repetitions of the write are late as well.
  bench.standin.SetMood(Mood::kLate);
  BOOST_TEST(bench.Call("POST", kJobPath, kBody, "h.example", "300").status ==
             504);
  bench.standin.SetMood(Mood::kWell);
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 410);
  bench.Within(seconds(7), [] { return false; });
  BOOST_TEST(bench.standin.Value(JobRow(kJobId, {})).empty());
  BOOST_TEST(bench.Call("GET", kJobPath).status == 410);
}

// A cancel is not acknowledged before its row is stored.
BOOST_AUTO_TEST_CASE(CancelOfAnUnknownJobIsNotAcknowledgedWithoutItsRow) {
  CallerBench bench;
  bench.standin.SetNextWrites({Mood::kBusy, Mood::kBusy, Mood::kBusy});
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 503);
  BOOST_TEST(bench.standin.Table(std::string(kCancelledTable)).empty());
  bench.standin.SetNextWrites(
      {Mood::kLosesAnswers, Mood::kLosesAnswers, Mood::kBusy, Mood::kBusy});
  BOOST_TEST(bench.Call("DELETE", kJobPath).status == 504);
}

// A job that is stored while its cancel finds none is cancelled as such.
BOOST_AUTO_TEST_CASE(JobThatIsStoredDuringItsCancelIsCancelled) {
  CallerBench bench;
  bench.standin.SetDelay(milliseconds(30));
  std::optional<int> submitted;
  bench.client.Send(
      {.method = "POST",
       .url =
           fmt::format("http://127.0.0.1:{}{}", bench.server.port(), kJobPath),
       .headers = {{.name = "Host", .value = "h.example"}},
       .body = kBody,
       .timeout = seconds(20)},
      [&](const http::ClientResult& got) { submitted = got.response.status; });
  const int cancelled = bench.Call("DELETE", kJobPath).status;
  bench.Until([&] { return submitted.has_value(); });
  const bool is_stored = !bench.standin.Value(JobRow(kJobId, {})).empty();
  const bool is_cancelled = !bench.standin.Value(CancelRow(kJobId, {})).empty();
  BOOST_TEST(submitted.value() == (is_stored ? 200 : 410));
  BOOST_TEST(cancelled == (is_stored ? 200 : 410));
  BOOST_TEST(is_cancelled == is_stored);
}

// Guards against rows that stay for ever: cancels of unknown ids remove those
// that are older than an hour, and no others.
BOOST_AUTO_TEST_CASE(OldRowsOfCancelledIdsAreRemoved) {
  constexpr int kOldRows = 200;
  constexpr int kCancels = 800;
  CallerBench bench;
  for (int i = 0; i < kOldRows; ++i)
    bench.Call("DELETE", fmt::format("/p/{:x}{:015x}", i % 16, i));
  const auto count = [&bench] {
    return static_cast<int>(
        bench.standin.Table(std::string(kCancelledTable)).size());
  };
  BOOST_REQUIRE(count() == kOldRows);
  // When this one was written is not known.
  const platform::RowKey unknown = CancelledIdRow("fe00000000000000", "other");
  bench.standin.Put(unknown, "0");
  bench.standin.SetClockAhead(std::chrono::minutes(61));
  bench.Call("GET", kJobPath);
  for (int i = 0; i < kCancels; ++i)
    bench.Call("DELETE", fmt::format("/p/{:x}f{:014x}", i % 16, i));
  BOOST_TEST(count() >= kCancels + 1);
  BOOST_TEST(count() < kCancels + 1 + kOldRows / 2);
  BOOST_TEST(!bench.standin.Value(unknown).empty());
}

// Guards against a job that runs for good after its cancel was acknowledged:
// its submission lay in the socket of a daemon that stood still.
BOOST_AUTO_TEST_CASE(JobCancelledWhileADaemonHoldsItsSubmissionNeverRuns) {
  ClusterFixture fixture(3);
  for (const auto& daemon : fixture.cluster.daemons())
    fixture.WaitUntilReady(daemon.first);
  std::string frozen;
  std::string other;
  for (const auto& daemon : fixture.cluster.daemons()) {
    if (daemon.first == fixture.cluster.Owner())
      continue;
    (frozen.empty() ? frozen : other) = daemon.first;
  }
  testing::Process& process = *fixture.cluster.daemons().at(frozen).process;
  process.Signal(SIGSTOP);
  http::Client client(fixture.cluster.on_loop());
  std::optional<int> submitted;
  client.Send(
      {.method = "POST",
       .url =
           fmt::format("http://{}/q/{}",
                       fixture.cluster.daemons().at(frozen).callers, JobId(1)),
       .headers = {{.name = "Host", .value = "jobs.example"}},
       .body = R"({"spec":"work","steps":[{"count":3,"cpu":500,)"
               R"("memMb":100,"longRunning":true}]})",
       .timeout = seconds(2)},
      [&](const http::ClientResult& got) { submitted = got.response.status; });
  BOOST_REQUIRE(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return submitted.has_value(); }));
  BOOST_TEST(*submitted == 0);
  BOOST_TEST(fixture.cluster.Call(other, "DELETE", JobId(1)).status == 410);
  process.Signal(SIGCONT);
  fixture.Wait(seconds(4));
  BOOST_TEST(fixture.cluster.workers().RunningTasks(JobId(1)) == 0);
  BOOST_TEST(fixture.cluster.Call(other, "GET", JobId(1)).status == 410);
}

}  // namespace
}  // namespace quartzhoist::entry
