// Runs jobs on daemon processes whose store fails in each of the known ways,
// and measures how soon each daemon accepts jobs again. The times are printed,
// not asserted: platform/outage_probe_test.cc shows the bound.

#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "testing/cluster_fixture.h"

namespace quartzhoist::testing {
namespace {

using std::chrono::milliseconds;

// Longer than it takes an idle daemon to notice (its feeds' time limit).
constexpr base::Micros kOutage = milliseconds(3000);
constexpr int kFirstOutageJob = 100;

struct OutageFixture : ClusterFixture {
  OutageFixture() : ClusterFixture(0) {
    for (const char* id : {"entry-1", "entry-2"})
      this->cluster.StartDaemonOverLink(id);
    this->WaitForOwner();
    this->SubmitAll();
  }

  // Submits one job after another to each daemon during an outage of some kind
  // and until each has accepted one after its end. Whatever was accepted must
  // complete, and whatever was refused must never run.
  void PlayOutage(const std::string& kind,
                  const std::function<void()>& begin,
                  const std::function<void()>& end,
                  base::Micros span = kOutage) {
    begin();
    const base::Micros end_at = base::MonotonicNow() + span;
    while (base::MonotonicNow() < end_at)
      this->SubmitToEach();
    end();
    const base::Micros ended = base::MonotonicNow();
    std::map<std::string, base::Micros> accepted_after;
    BOOST_TEST(this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
      for (const std::string& id : this->SubmitToEach())
        accepted_after.emplace(id, base::MonotonicNow() - ended);
      return accepted_after.size() == this->cluster.daemons().size();
    }));
    for (const auto& [id, time] : accepted_after)
      std::cerr << "outage (" << kind << "): " << id
                << " accepts jobs again after " << base::Millis(time)
                << " ms\n";
    this->ExpectAllCompletedOnce();
    this->ExpectAnswersHold();
  }

  // Returns the daemons that accepted a job.
  std::vector<std::string> SubmitToEach() {
    std::vector<std::string> accepting;
    for (auto& [id, daemon] : this->cluster.daemons()) {
      const std::string job = JobId(this->next_job++);
      const int status = this->cluster.SubmitTo(id, job, 1, 1);
      BOOST_TEST(status != 0);  // 0: no answer, or an incomplete one
      this->statuses[job] = status;
      if (status == 200)
        accepting.push_back(id);
    }
    this->Wait(milliseconds(20));
    return accepting;
  }

  void ExpectAnswersHold() {
    for (const auto& [job, status] : this->statuses) {
      const bool was_accepted = status == 200;
      const bool was_refused = status == 503 || status == 429;
      if (was_accepted)
        BOOST_TEST(this->cluster.WaitUntil(kTimeoutSeconds, [this, &job = job] {
          return this->cluster.StateOf(job) == "completed";
        }));
      if (was_refused)
        BOOST_TEST(this->cluster.Call("entry-1", "GET", job).status == 410);
    }
  }

  bool LogHas(const std::string& id, const std::string& text) {
    return this->cluster.daemons().at(id).process->Output().find(text) !=
           std::string::npos;
  }

  int next_job = kFirstOutageJob;
  std::map<std::string, int> statuses;  // by job
};

BOOST_AUTO_TEST_CASE(DaemonsRecoverFromAStoreThatRejectsAllCalls) {
  OutageFixture fixture;
  StoreStandin& store = fixture.cluster.store();
  fixture.PlayOutage(
      "rejects all calls", [&] { store.SetMood(StoreStandin::Mood::kBusy); },
      [&] { store.SetMood(StoreStandin::Mood::kWell); });
  for (const char* id : {"entry-1", "entry-2"})
    BOOST_TEST(fixture.LogHas(id, "\"store_returned\""));
}

// The daemons' connections stay silent after the end as well.
BOOST_AUTO_TEST_CASE(DaemonsRecoverFromAStoreThatDoesNotAnswer) {
  OutageFixture fixture;
  const auto for_each_link = [&](void (TcpLink::*action)()) {
    for (const char* id : {"entry-1", "entry-2"})
      (fixture.cluster.LinkOf(id).*action)();
  };
  fixture.PlayOutage(
      "does not answer", [&] { for_each_link(&TcpLink::Cut); },
      [&] { for_each_link(&TcpLink::Join); });
  for (const char* id : {"entry-1", "entry-2"})
    BOOST_TEST(fixture.LogHas(id, "\"store_returned\""));
}

BOOST_AUTO_TEST_CASE(DaemonsRecoverFromConnectionsThatFellSilent) {
  OutageFixture fixture;
  fixture.PlayOutage(
      "open connections silent",
      [&] {
        for (const char* id : {"entry-1", "entry-2"})
          fixture.cluster.LinkOf(id).SilenceOpen();
      },
      [] {}, base::Micros::zero());
}

// Guards against a slow store that is taken for one that is away.
BOOST_AUTO_TEST_CASE(DaemonsGoOnWithASlowStore) {
  OutageFixture fixture;
  fixture.PlayOutage(
      "slow", [&] { fixture.cluster.store().SetDelay(milliseconds(300)); },
      [&] { fixture.cluster.store().SetDelay(base::Micros::zero()); });
  for (const char* id : {"entry-1", "entry-2"})
    BOOST_TEST(!fixture.LogHas(id, "\"store_returned\""));
}

BOOST_AUTO_TEST_CASE(DaemonsRecoverFromAStoreThatLosesAnswers) {
  OutageFixture fixture;
  StoreStandin& store = fixture.cluster.store();
  fixture.PlayOutage(
      "loses answers",
      [&] { store.SetMood(StoreStandin::Mood::kLosesAnswers); },
      [&] { store.SetMood(StoreStandin::Mood::kWell); });
}

// Guards against a daemon that does not exit, or not with 0, while it probes.
BOOST_AUTO_TEST_CASE(DaemonLeavesWhileItProbes) {
  OutageFixture fixture;
  fixture.ExpectAllCompletedOnce();
  fixture.cluster.LinkOf("entry-1").Cut();
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    return fixture.cluster.SubmitTo("entry-1", JobId(50), 1, 1) == 503;
  }));
  Process& leaving = *fixture.cluster.daemons().at("entry-1").process;
  leaving.Signal(SIGTERM);
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds,
                                       [&] { return !leaving.running(); }));
  BOOST_TEST(leaving.Wait(1).value_or(-1) == 0);
}

BOOST_AUTO_TEST_CASE(AllDaemonsAreKilledAtOnce) {
  OutageFixture fixture;
  fixture.PlayOutage(
      "all daemons killed",
      [&] {
        for (auto& [id, daemon] : fixture.cluster.daemons())
          daemon.process->Signal(SIGKILL);
        for (const char* id : {"entry-1", "entry-2"})
          fixture.cluster.StartDaemon(id);
      },
      [] {}, base::Micros::zero());
}

// Guards against jobs that are lost or run twice, and incomplete answers, where
// the bytes to the store take longer than time limits.
BOOST_AUTO_TEST_CASE(NarrowLinkToTheStoreLosesAndDoublesNothing) {
  constexpr std::size_t kBytesPerSecond = 12'000;
  OutageFixture fixture;
  TcpLink& link = fixture.cluster.LinkOf("entry-1");
  fixture.PlayOutage(
      "narrow link", [&] { link.SetRate(kBytesPerSecond); },
      [&] { link.SetRate(0); });
}

}  // namespace
}  // namespace quartzhoist::testing
