// The report of lost jobs, on lines that daemons wrote in the first seconds of
// a rush, and on lines that are damaged.

#include <fstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "bench/job_losses.h"

namespace quartzhoist::bench {
namespace {

JobLosses ReadRush() {
  JobLosses losses;
  std::ifstream file(QUARTZHOIST_SOURCE_DIR "/bench/recorded/large_rush.log");
  BOOST_REQUIRE(file.good());
  std::string line;
  while (std::getline(file, line))
    losses.Read(line);
  return losses;
}

BOOST_AUTO_TEST_CASE(JobsAreCountedOnceByFateAndDelay) {
  const JobLosses losses = ReadRush();
  const QueueLosses& queue = losses.queues().at("r-b4fwkwr");
  // Six lines tell of jobs in time, one of them a second time.
  BOOST_TEST(queue.jobs.at(Fate::kInTime) == 5);
  BOOST_TEST(queue.jobs.at(Fate::kLate) == 8);
  BOOST_TEST(queue.jobs.at(Fate::kFailed) == 1);
  BOOST_TEST(queue.jobs.at(Fate::kCancelled) == 2);
  BOOST_TEST(queue.late.at(Delay::kFirstPlace) == 4);
  BOOST_TEST(queue.late.at(Delay::kLaterPlace) == 2);
  BOOST_TEST(queue.late.at(Delay::kLostRuns) == 2);
  BOOST_TEST(losses.queues().at("r-mgevib6").late.at(Delay::kOwnerBefore) == 1);
}

BOOST_AUTO_TEST_CASE(PoolsAreSummedOverTheirShards) {
  const JobLosses losses = ReadRush();
  const PoolSecond& pool = losses.pools().at("bati0c").at(1);
  BOOST_TEST(pool.boxes == 172);
  BOOST_TEST(pool.idle == 18);
  BOOST_TEST(pool.leaving == 40);
  BOOST_TEST(pool.busy_cores == 2139.0);
  BOOST_TEST(pool.oldest_ms == 1021);
}

BOOST_AUTO_TEST_CASE(TextAndPictureNameEveryPoolAndQueue) {
  const JobLosses losses = ReadRush();
  const std::string text = losses.ToText();
  const std::string picture = losses.ToSvg();
  for (const auto& [queue, counts] : losses.queues())
    BOOST_TEST(text.find(queue) != std::string::npos);
  for (const auto& [pool, seconds] : losses.pools()) {
    BOOST_TEST(text.find(pool) != std::string::npos);
    BOOST_TEST(picture.find(pool) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(OtherLinesArePassedOver) {
  JobLosses losses;
  losses.Read("");
  losses.Read("no brace");
  losses.Read(R"(12.5 box {"event":"job_over","job":"cut)");
  losses.Read(R"({"event":"run_started","task":"a.0.0.0"})");
  losses.Read(R"({"event":"pool_state","pool":"p","time":"yesterday"})");
  losses.Read(
      R"(1.0 box {"event":"job_over","job":"a","queue":"q","state":"completed",)"
      R"("took_ms":400,"objective_ms":100,"first_place_ms":300,"runs":1})");
  BOOST_TEST(losses.queues().size() == 1U);
  BOOST_TEST(losses.queues().at("q").too_late.at(Delay::kFirstPlace) == 1);
  BOOST_TEST(losses.pools().empty());
}

}  // namespace
}  // namespace quartzhoist::bench
