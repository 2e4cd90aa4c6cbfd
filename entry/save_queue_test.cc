// Tests how saves are grouped into writes.

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "entry/save_queue.h"
#include "entry/tables.h"

namespace quartzhoist::entry {
namespace {

scheduler::SaveProgress SaveOf(const std::string& job) {
  return {.job = job, .text = "t", .version = 1, .change = 1, .is_over = false};
}

BOOST_AUTO_TEST_CASE(SinglePartWritesAreBatchedAndOneInFlightPerPart) {
  SaveQueue queue;
  for (int i = 0; i < 200; ++i)
    queue.Add(SaveOf(std::to_string(i)));
  std::set<std::string> busy;
  std::size_t taken = 0;
  std::vector<std::vector<scheduler::SaveProgress>> writes;
  while (true) {
    std::vector<scheduler::SaveProgress> batch = queue.Take(true);
    if (batch.empty())
      break;
    const std::string part = ProgressRow(batch.front().job).part;
    BOOST_TEST(busy.insert(part).second);
    for (const scheduler::SaveProgress& save : batch)
      BOOST_TEST(ProgressRow(save.job).part == part);
    taken += batch.size();
    writes.push_back(std::move(batch));
  }
  BOOST_TEST(taken == 200U);
  BOOST_TEST(queue.empty());
  // A new save waits for the answer to the write in flight to its part.
  queue.Add(SaveOf("0"));
  BOOST_TEST(queue.Take(true).empty());
  for (const auto& batch : writes)
    queue.OnWriteFinished(batch);
  BOOST_TEST(queue.Take(true).size() == 1U);
}

BOOST_AUTO_TEST_CASE(SavesOfManyPartsShareAWrite) {
  SaveQueue queue;
  for (int i = 0; i < 120; ++i)
    queue.Add(SaveOf(std::to_string(i)));
  BOOST_TEST(queue.Take(false).size() == 50U);  // 100 entries
  BOOST_TEST(queue.Take(false).size() == 50U);
  BOOST_TEST(queue.Take(false).size() == 20U);
  BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(UnbatchedSaveIsSentFirstAndAlone) {
  SaveQueue queue;
  queue.Add(SaveOf("1"));
  queue.AddUnbatched(SaveOf("2"));
  const std::vector<scheduler::SaveProgress> first = queue.Take(false);
  BOOST_TEST(first.size() == 1U);
  BOOST_TEST(first.front().job == "2");
}

}  // namespace
}  // namespace quartzhoist::entry
