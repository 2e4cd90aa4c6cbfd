#include "daemon/wave_driver.h"

#include <array>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "waves/steps.h"

namespace quartzhoist::daemon {

namespace {

using base::Event;
using waves::StepKind;

struct StepEvent {
  StepKind kind;
  Event event;
};

constexpr std::array<StepEvent, 4> kStepEvents{{
    {StepKind::kDepart, Event::kBoxDraining},
    {StepKind::kEmpty, Event::kBoxAway},
    {StepKind::kReturn, Event::kBoxReturned},
    {StepKind::kCancel, Event::kBoxReturned},
}};

void LogSteps(const waves::PoolPlan& plan, table::Version version) {
  for (const waves::Step& step : plan.steps) {
    for (const StepEvent& entry : kStepEvents) {
      if (entry.kind == step.kind)
        base::Log(entry.event, {{"box", step.box},
                                {"pool", plan.pool},
                                {"next_pool", step.next_pool},
                                {"epoch", version}});
    }
  }
}

}  // namespace

WaveDriver::WaveDriver(platform::Client& client,
                       Follower& follows,
                       base::Counters& counts,
                       std::string prefix)
    : platform(client),
      follower(follows),
      counters(counts),
      writer_prefix(std::move(prefix)) {}

void WaveDriver::Drive(
    const waves::Facts& facts,
    const std::function<bool(const std::string& pool)>& answers) {
  const waves::Fleet fleet(this->follower.current(), facts);
  std::map<std::string, waves::PoolPlan> plans;
  this->is_busy = false;
  for (waves::PoolPlan& plan : waves::PlanAll(fleet)) {
    if (!answers(plan.pool))
      continue;
    this->is_busy = this->is_busy || plan.on_way > 0 || plan.waiting > 0;
    this->NoteHold(plan);
    if (!plan.steps.empty() && !this->writing.contains(plan.pool))
      this->Write(plan, {});
    plans.insert_or_assign(plan.pool, std::move(plan));
  }
  this->last_plans = std::move(plans);
}

void WaveDriver::NoteHold(const waves::PoolPlan& plan) {
  const auto before = this->last_plans.find(plan.pool);
  const bool halted = plan.hold == waves::Hold::kFailureBurst;
  const bool was_halted = before != this->last_plans.end() &&
                          before->second.hold == waves::Hold::kFailureBurst;
  if (halted != was_halted)
    base::Log(halted ? Event::kWaveHalted : Event::kWaveResumed,
              {{"pool", plan.pool}, {"waiting", plan.waiting}});
}

void WaveDriver::Write(
    const waves::PoolPlan& plan,
    std::function<void(const platform::CommitOutcome&)> done) {
  const std::string writer =
      fmt::format("{}/wave/{}", this->writer_prefix, ++this->last_writer);
  this->writing.insert(plan.pool);
  this->platform.Commit(
      {waves::ToTransaction(*this->follower.current(), plan, writer)},
      [this, plan, done = std::move(done)](
          const std::vector<platform::CommitOutcome>& outcomes) {
        this->writing.erase(plan.pool);
        const platform::CommitOutcome& outcome = outcomes.front();
        if (const auto* committed =
                std::get_if<platform::Committed>(&outcome)) {
          this->counters.Add(base::Counter::kWaveSteps, plan.steps.size());
          LogSteps(plan, committed->version);
        }
        if (std::holds_alternative<platform::Conflict>(outcome))
          base::Log(Event::kWaveConflict, {{"pool", plan.pool}});
        // Won or lost, the rows are other than those planned with.
        this->follower.Poll([done, outcome] {
          if (done)
            done(outcome);
        });
      });
}

}  // namespace quartzhoist::daemon
