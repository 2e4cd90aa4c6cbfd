// Runs jobs on daemon processes of a fleet of several shards: owners that are
// killed, waves and quotas that the shards share.

#include <csignal>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/shard_selector.h"
#include "entry/tables.h"
#include "testing/cluster_fixture.h"

namespace quartzhoist::testing {
namespace {

struct ShardedFixture : ClusterFixture {
  static constexpr int kShards = 2;

  // Eight boxes, four in each shard.
  ShardedFixture() : ClusterFixture(0, 8) {
    this->cluster.SetWorkersAnOwner(4);
    for (const char* id : {"entry-1", "entry-2", "entry-3"})
      this->cluster.StartDaemon(id);
    BOOST_REQUIRE(this->cluster.WaitUntil(kTimeoutSeconds, [this] {
      return !this->OwnerOf(0).empty() && !this->OwnerOf(1).empty();
    }));
  }

  std::string OwnerOf(int shard) {
    return this->cluster.Owner({.number = shard, .count = kShards});
  }
};

BOOST_AUTO_TEST_CASE(JobsOfSeveralShardsRunOnce) {
  ShardedFixture fixture;
  fixture.SubmitAll();
  fixture.ExpectAllCompletedOnce();
  BOOST_TEST(fixture.cluster.workers().starts() == kAllTasks);
  BOOST_TEST(fixture.cluster.workers().ends_done() == kAllTasks);
}

// More shards than daemons, each of which watches only some of them.
BOOST_AUTO_TEST_CASE(JobsOfManyShardsRunOnceAndSurviveAnOwner) {
  ClusterFixture fixture(0, 8);
  fixture.cluster.SetWorkersAnOwner(1);
  for (const char* id : {"entry-1", "entry-2", "entry-3"})
    fixture.cluster.StartDaemon(id);
  const auto owner_of = [&](int shard) {
    return fixture.cluster.Owner({.number = shard, .count = 8});
  };
  const auto all_owned_without = [&](const std::string& lost) {
    for (int shard = 0; shard < 8; ++shard) {
      if (owner_of(shard).empty() || owner_of(shard) == lost)
        return false;
    }
    return true;
  };
  BOOST_REQUIRE(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return all_owned_without(""); }));
  fixture.SubmitAll();
  const std::string lost = owner_of(0);
  fixture.cluster.daemons().at(lost).process->Signal(SIGKILL);
  BOOST_REQUIRE(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return all_owned_without(lost); }));
  fixture.cluster.daemons().erase(lost);
  fixture.ExpectAllCompletedOnce();
}

BOOST_AUTO_TEST_CASE(ShardsOfAKilledOwnerAreTakenOver) {
  ShardedFixture fixture;
  fixture.cluster.workers().SetRunTime(std::chrono::milliseconds(800));
  fixture.SubmitAll();
  BOOST_REQUIRE(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return fixture.cluster.workers().starts() > 0; }));
  const std::string first_owner = fixture.OwnerOf(0);
  fixture.cluster.daemons().at(first_owner).process->Signal(SIGKILL);
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    return fixture.OwnerOf(0) != first_owner &&
           fixture.OwnerOf(1) != first_owner;
  }));
  fixture.cluster.daemons().erase(first_owner);
  fixture.ExpectAllCompletedOnce();
}

// At most one box may be in maintenance at a time, across all shards.
BOOST_AUTO_TEST_CASE(WaveOverSeveralShardsStaysWithinItsLimit) {
  ShardedFixture fixture;
  fixture.cluster.store().Put(
      {.table = "op", .part = "", .key = "wave/1"},
      R"({"wave":1,"machines":["box-1","box-2","box-5","box-6"],)"
      R"("durationS":20,"maxCount":1})");
  fixture.SubmitAll();
  BOOST_TEST(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
    return fixture.cluster.store()
               .Value({.table = "status", .part = "", .key = "wave/1"})
               .find("completed") != std::string::npos;
  }));
  BOOST_TEST(fixture.cluster.workers().upkeeps() == 4);
  BOOST_TEST(fixture.cluster.workers().most_away() == 1U);
  fixture.ExpectAllCompletedOnce();
}

struct QuotaFixture : ShardedFixture {
  static constexpr const char* kKey = "a-key";

  // A daemon that has not received the keys accepts jobs without an
  // organisation, to which no quota applies. Waits until every daemon has them.
  explicit QuotaFixture(const std::string& cpu_millis) {
    std::string config = KeyedConfig(2, kKey);
    const std::string large = "1000000";
    config.replace(config.find(large), large.size(), cpu_millis);
    this->cluster.store().Put({.table = "op", .part = "", .key = "config"},
                              config);
    this->cluster.SetKey("another-key");
    for (const auto& [id, daemon] : this->cluster.daemons()) {
      BOOST_REQUIRE(this->cluster.WaitUntil(kTimeoutSeconds, [this, &id = id] {
        return this->cluster.Call(id, "GET", JobId(1)).status == 401;
      }));
    }
    this->cluster.SetKey(kKey);
    this->cluster.workers().SetRunTime(std::chrono::milliseconds(150));
  }

  void KillOwner(int shard) {
    const std::string id = this->OwnerOf(shard);
    this->cluster.daemons().at(id).process->Signal(SIGKILL);
    this->cluster.daemons().erase(id);
  }

  // Waits until each shard's owner knows that its shard has cores: it has
  // written so, and has renewed since, which it does after the store's answer.
  // Until then a daemon passes over the shard if another one is further.
  void WaitUntilOwnersKnowTheirCores() {
    for (int shard = 0; shard < kShards; ++shard) {
      std::optional<entry::OwnerRecord> first;
      BOOST_REQUIRE(this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
        const auto report = this->ReportOf(shard);
        if (!report || !first || report->epoch != first->epoch)
          first = report;
        return first && report->beat > first->beat;
      }));
    }
  }

  // Submits jobs of one task to the daemon, one after the other has completed,
  // until it has assigned one to each shard; the number of jobs.
  int SubmitUntilBothShardsHaveOne(const std::string& daemon) {
    std::set<int> used;
    int jobs = 0;
    BOOST_REQUIRE(this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
      const std::string job = JobId(jobs);
      if (this->cluster.SubmitTo(daemon, job, 1, 1) != 200)
        return false;
      ++jobs;
      for (int shard = 0; shard < kShards; ++shard) {
        if (this->ShardHasJob(shard, job))
          used.insert(shard);
      }
      this->cluster.WaitUntil(kTimeoutSeconds, [&, this] {
        return this->cluster.StateOf(job) == "completed";
      });
      return used.size() == kShards;
    }));
    return jobs;
  }

  bool ShardHasJob(int number, const std::string& job) {
    const entry::Shard shard{.number = number, .count = kShards};
    return !this->cluster.store().Value(entry::JobRow(job, shard)).empty();
  }

 private:
  // The owner's row, if it reports cores for the pool.
  std::optional<entry::OwnerRecord> ReportOf(int shard) {
    const entry::Shard at{.number = shard, .count = kShards};
    const auto record =
        entry::DecodeOwner(this->cluster.store().Value(entry::OwnerRow(at)));
    const bool has_cores =
        record && entry::ShardSelector::HaveCores("press", {0}, {record->load});
    return has_cores ? record : std::nullopt;
  }
};

// The quota of four tasks is so small that all jobs go to one shard, which
// borrows the other shard's share. The quota must hold across takeovers.
BOOST_AUTO_TEST_CASE(QuotaHoldsOverSeveralShardsAndTakeovers) {
  QuotaFixture fixture("2000");
  fixture.SubmitAll();
  BOOST_REQUIRE(fixture.cluster.WaitUntil(
      kTimeoutSeconds, [&] { return fixture.cluster.workers().starts() > 8; }));
  fixture.KillOwner(0);
  fixture.ExpectAllCompletedOnce();
  // Four tasks by the quota, and one that may overlap.
  BOOST_TEST(fixture.cluster.workers().most_running() <= 5);
  BOOST_TEST(fixture.cluster.workers().most_running() >= 3);
}

// The jobs under a quota of eight tasks are distributed over both shards, which
// must stay within it together, also when an owner is killed. A daemon assigns
// all jobs to one shard until it has read that the other has an owner, which
// may take longer than all submissions. Each owner knows of its own shard, and
// therefore gets half of the jobs.
BOOST_AUTO_TEST_CASE(QuotaHoldsForJobsOfBothShards) {
  constexpr int kSingleTasks = 36;
  QuotaFixture fixture("4000");
  fixture.WaitUntilOwnersKnowTheirCores();
  const int first = fixture.SubmitUntilBothShardsHaveOne("entry-1");
  // Jobs arrive faster than eight at a time complete, so that more jobs wait
  // than the quota admits.
  fixture.cluster.workers().SetRunTime(std::chrono::milliseconds(1200));
  int in_shard_0 = 0;
  for (int i = first; i < first + kSingleTasks; ++i) {
    BOOST_REQUIRE(fixture.cluster.WaitUntil(kTimeoutSeconds, [&] {
      const std::string owner = fixture.OwnerOf(i % QuotaFixture::kShards);
      return !owner.empty() &&
             fixture.cluster.SubmitTo(owner, JobId(i), 1, 1) == 200;
    }));
    in_shard_0 += fixture.ShardHasJob(0, JobId(i)) ? 1 : 0;
  }
  BOOST_TEST(in_shard_0 > 0);
  BOOST_TEST(in_shard_0 < kSingleTasks);
  fixture.KillOwner(0);
  fixture.ExpectAllCompletedOnce(first + kSingleTasks);
  // Eight tasks by the quota, and one that may overlap.
  BOOST_TEST(fixture.cluster.workers().most_running() <= 9);
  BOOST_TEST(fixture.cluster.workers().most_running() >= 6);
}

}  // namespace
}  // namespace quartzhoist::testing
