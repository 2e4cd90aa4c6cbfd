// Tests of what the recorded losses of a task tell, counted by its runs.

#include <boost/test/unit_test.hpp>

#include <chrono>

#include "scheduler/suspects.h"

namespace quartzhoist::scheduler {

// Guards against giving up a task for losses that did not happen: two owners
// had recorded the loss of the same run under two incarnations of its worker.
BOOST_AUTO_TEST_CASE(RunLostUnderTwoIncarnationsCountsOnce) {
  const jobs::WorkerLoss first{
      .run = 1, .box = "x", .has_crashed = true, .start_confirmed = true};
  jobs::WorkerLoss second = first;
  second.run = 2;
  second.box = "y";
  jobs::WorkerLosses losses{{{.id = "a", .start_ms = 1}, first},
                            {{.id = "a", .start_ms = 2}, first},
                            {{.id = "b", .start_ms = 1}, second}};
  BOOST_TEST(!IsLastTry(losses));
  BOOST_CHECK(AssessSuspicion(losses, {3, 4}, std::chrono::seconds(9), true) ==
              Suspicion::kProbe);
  losses[{.id = "c", .start_ms = 1}] = {.run = 5, .box = "z"};
  BOOST_TEST(IsLastTry(losses));
  // Losses whose run is not known are not taken for the same run.
  for (auto& [incarnation, loss] : losses)
    loss.run = 0;
  losses.erase({.id = "c", .start_ms = 1});
  BOOST_TEST(IsLastTry(losses));
}

}  // namespace quartzhoist::scheduler
