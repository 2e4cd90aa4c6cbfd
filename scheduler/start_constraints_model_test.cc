// Property test of where tasks start, against the scheduler's model.

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include <string>
#include <vector>

#include "testing/model_draws.h"
#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

using std::chrono::seconds;

// Steps are limited per worker or require a label, in two pools that exchange
// boxes. Workers withdraw, restart and are cut off, and commands are late or
// lost, while owners are paused and replaced.
BOOST_AUTO_TEST_CASE(TasksStartOnlyOnSuitableWorkers) {
  const bool holds = rc::check("each start is on a suitable worker", [] {
    std::vector<ModelJob> jobs(6);
    for (std::size_t i = 0; i < jobs.size(); ++i) {
      jobs[i].id = "job" + std::to_string(i);
      jobs[i].service = i < 4 ? "pool" : "other";
      jobs[i].spec.text = "text";
      jobs::Step step = MakeStep(DrawBetween(2, 6), DrawBetween(300, 1200));
      step.max_per_worker = DrawBetween(0, 2);
      if (DrawBetween(0, 3) == 0)
        step.label = DrawBetween(0, 1) == 0 ? kEvenLabel : kOddLabel;
      jobs[i].spec.steps = {step};
      if (i % 2 == 0) {
        MakeLongRunning(jobs[i].spec.steps.back());
      } else {
        jobs[i].spec.steps.push_back(step);
        jobs[i].spec.steps.back().depends_on = {0};
      }
    }
    const auto odds = [](int max_per_mille) {
      return DrawBetween(0, max_per_mille) / 1000.0;
    };
    ModelFaults faults;
    faults.withdrawal = odds(300);
    faults.lost_answer = odds(200);
    faults.lost_command = odds(100);
    faults.lost_save = odds(200);
    faults.late_job = odds(500);
    faults.failing_run = odds(300);
    faults.crash = odds(100);
    faults.partition = odds(600);
    faults.takeover = odds(400);
    faults.owner_pause = odds(300);
    faults.store_outage = odds(200);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    SchedulerModel model(seed, faults, DrawBetween(4, 8), jobs);
    model.RunFor(seconds(25));
    RC_LOG() << Joined(model.violations()) << model.History();
    RC_ASSERT(model.violations().empty());
  });
  BOOST_TEST(holds);
}

}  // namespace quartzhoist::testing
