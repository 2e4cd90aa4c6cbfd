// Tests who may access a job, and that owners keep what decides it.

#include <chrono>
#include <functional>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/job_access.h"
#include "entry/manager.h"
#include "entry/tables.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

using testing::StoreBench;

constexpr const char* kJob = "5c0e7a21d94b36f8";

jobs::Config ConfigWithOpenQueue() {
  jobs::Config config;
  config.keys_required = true;
  config.queues = {{.name = "q"}, {.name = "o", .open_to_all = true}};
  return config;
}

// Guards against refusals whose log line names no job.
BOOST_AUTO_TEST_CASE(RefusedRequestNamesItsJob) {
  BOOST_TEST(JobIdIn("/wy166/0123456789abcdef") == "0123456789abcdef");
  BOOST_TEST(JobIdIn("/a/b/0123456789ABCDEF?x=/y") == "0123456789ABCDEF");
  BOOST_TEST(JobIdIn("/wy166/") == "");
  BOOST_TEST(JobIdIn("/prefix-0123456789abcdef") == "0123456789abcdef");
  BOOST_TEST(JobIdIn("0123456789abcdef") == "0123456789abcdef");
  BOOST_TEST(JobIdIn("") == "");
}

BOOST_AUTO_TEST_CASE(AccessIsDecidedByOrganisationAndOwnQueue) {
  const jobs::Config config = ConfigWithOpenQueue();
  struct Case {
    const char* caller;
    std::optional<std::string> organisation;
    const char* queue;
    JobAccess expected;
  };
  for (const Case& one : {
           Case{"bees", "bees", "q", JobAccess::kAllowed},
           Case{"ants", "bees", "q", JobAccess::kDenied},
           Case{"", "bees", "q", JobAccess::kDenied},
           Case{"ants", "bees", "o", JobAccess::kAllowed},
           Case{"", "bees", "o", JobAccess::kAllowed},
           // A queue that is not configured any more is not open.
           Case{"ants", "bees", "removed", JobAccess::kDenied},
           Case{"ants", "bees", "", JobAccess::kDenied},
           Case{"ants", "", "q", JobAccess::kAllowed},
           Case{"ants", std::nullopt, "", JobAccess::kUndecided},
       }) {
    const JobAccess access =
        DecideJobAccess(config, one.caller,
                        {.organisation = one.organisation, .queue = one.queue});
    BOOST_TEST((access == one.expected),
               one.caller << " " << one.organisation.value_or("-") << " "
                          << one.queue);
  }
  BOOST_CHECK(DecideJobAccess({}, "", {.organisation = "bees", .queue = "q"}) ==
              JobAccess::kAllowed);
}

// Guards against a job of an earlier version that any key may read once it is
// over, because its owner saved its end without its organisation.
BOOST_AUTO_TEST_CASE(OwnerAddsTheOriginToRowsOfEarlierVersions) {
  StoreBench bench;
  jobs::Queue queue;
  queue.name = "q";
  queue.service = "s";
  bench.standin.Put(JobRow(kJob, {}),
                    EncodeAccepted({.queue = queue,
                                    .accepted_ms = 1,
                                    .organisation = "bees",
                                    .body = R"({"steps":[{"count":1}]})"}));
  bench.standin.Put(ProgressRow(kJob),
                    EncodeProgressRecord({.text = R"({"state":"queued"})"}));
  bench.standin.Put(CancelRow(kJob, {}), "1");
  Settings settings;
  settings.id = "a";
  ShardManager manager(bench.loop, bench.store, bench.counters, settings,
                       Shard{}, 1, base::MonotonicNow(),
                       ShardManager::Authority{
                           .commands_until = [] { return base::Micros::max(); },
                           .certain_until = [] { return base::Micros::max(); },
                           .on_fenced = [] {}});
  manager.SetEvacuatedZones({});
  manager.SetConfig({});
  BOOST_REQUIRE(bench.Within(std::chrono::seconds(5), [&] {
    manager.OwnershipConfirmed(base::MonotonicNow());
    return bench.standin.Value(JobRow(kJob, {})).empty();
  }));
  const std::string row = bench.standin.Value(ProgressRow(kJob));
  const auto progress = jobs::DecodeProgress(DecodeProgressRecord(row)->text);
  BOOST_REQUIRE(progress.has_value());
  BOOST_CHECK(progress->state == jobs::JobState::kCancelled);
  BOOST_TEST(progress->organisation.value_or("") == "bees");
  BOOST_TEST(progress->queue == "q");
}

}  // namespace
}  // namespace quartzhoist::entry
