// Box calls of a shard's owner: moves, maintenance and the platform's list of
// boxes.

#include <utility>

#include "base/event_log.h"
#include "entry/manager.h"

namespace quartzhoist::entry {

namespace {

std::string_view NameOfOutcome(scheduler::BoxCallOutcome outcome) {
  return base::NameOf(scheduler::kBoxCallOutcomeNames, outcome);
}

}  // namespace

BoxCalls::Events ShardManager::BoxCallEvents() {
  return {.on_claimed =
              [this](const std::vector<scheduler::BoxCall>& calls) {
                this->inherited_box_calls = calls;
                this->StartIfLoaded();
              },
          .on_recorded =
              [this](const scheduler::BoxCall& call) {
                std::visit([this](const auto& one) { this->SendBoxCall(one); },
                           call);
              },
          .on_rejected =
              [this](const scheduler::BoxCall& call) {
                struct Visitor {
                  scheduler::Scheduler& scheduler;

                  void operator()(const scheduler::MoveBox& move) const {
                    this->scheduler.MoveAnswered(
                        move, scheduler::BoxCallOutcome::kNotSent,
                        base::MonotonicNow());
                  }
                  void operator()(const scheduler::MaintainBox& upkeep) const {
                    this->scheduler.MaintenanceAnswered(
                        upkeep, scheduler::BoxCallOutcome::kNotSent,
                        base::MonotonicNow());
                  }
                };
                std::visit(Visitor{this->scheduler}, call);
              },
          .on_fenced = [this] { this->authority.on_fenced(); }};
}

void ShardManager::RecordBoxCalls() {
  this->box_calls.Sync(
      [this](const std::string& box) {
        return this->scheduler.HasOpenBoxCall(box);
      },
      base::MonotonicNow());
}

// Logged before the call is made: if the owner dies before the response, this
// is the only log line of the call.
void ShardManager::LogBoxCall(const char* call,
                              const std::string& box,
                              const scheduler::BoxCallContext& context) const {
  base::Log(base::Event::kBoxAsked,
            {{"call", call},
             {"box", box},
             {"epoch", this->epoch},
             {"confirmed_ms", base::Millis(context.confirmed_ago)},
             {"heard_ms", context.last_answer_ago < base::Micros::zero()
                              ? -1
                              : base::Millis(context.last_answer_ago)},
             {"presumed_over", context.runs_presumed_over}});
}

void ShardManager::SendBoxCall(const scheduler::MoveBox& command) {
  this->LogBoxCall("move", command.box, command.context);
  const base::Micros sent = base::MonotonicNow();
  this->boxes.Move(command, this->epoch,
                   [this, command, sent,
                    alive = this->alive](scheduler::BoxCallOutcome outcome) {
                     if (!*alive)
                       return;
                     const base::Micros now = base::MonotonicNow();
                     base::Log(base::Event::kBoxMoved,
                               {{"box", command.box},
                                {"pool", command.pool},
                                {"epoch", this->epoch},
                                {"outcome", NameOfOutcome(outcome)},
                                {"took_ms", base::Millis(now - sent)}});
                     this->scheduler.MoveAnswered(command, outcome, now);
                     this->ScheduleCycle();
                   });
}

void ShardManager::SendBoxCall(const scheduler::MaintainBox& command) {
  this->LogBoxCall("upkeep", command.box, command.context);
  const base::Micros sent = base::MonotonicNow();
  this->boxes.Maintain(
      command, this->epoch,
      [this, command, sent,
       alive = this->alive](scheduler::BoxCallOutcome outcome) {
        if (!*alive)
          return;
        const base::Micros now = base::MonotonicNow();
        base::Log(base::Event::kUpkeepBegun,
                  {{"box", command.box},
                   {"wave", command.wave},
                   {"epoch", this->epoch},
                   {"outcome", NameOfOutcome(outcome)},
                   {"took_ms", base::Millis(now - sent)}});
        this->scheduler.MaintenanceAnswered(command, outcome, now);
        this->ScheduleCycle();
      });
}

BoxLister::OnListed ShardManager::OnBoxesListed() {
  return [this](const std::vector<scheduler::BoxInfo>& listed,
                base::Micros asked) {
    this->scheduler.SetBoxes(listed, asked, base::MonotonicNow());
    this->ScheduleCycle();
  };
}

}  // namespace quartzhoist::entry
