// The owner's calls about boxes: moves, upkeeps, the platform's list.

#include <utility>

#include "base/event_log.h"
#include "entry/manager.h"

namespace quartzhoist::entry {

namespace {

std::string_view OutcomeName(scheduler::BoxCallOutcome outcome) {
  return base::NameOf(scheduler::kBoxCallOutcomeNames, outcome);
}

}  // namespace

BoxCalls::Events Manager::BoxCallEvents() {
  return {.on_claimed =
              [this](const std::vector<scheduler::BoxCall>& calls) {
                this->kept_calls = calls;
                this->Begin();
              },
          .on_recorded =
              [this](const scheduler::BoxCall& call) {
                std::visit([this](const auto& one) { this->SendBox(one); },
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

void Manager::RecordBoxCalls() {
  this->box_calls.Sync(
      [this](const std::string& box) {
        return this->scheduler.HasOpenBoxCall(box);
      },
      base::MonotonicNow());
}

// Before the call: one that its owner does not live to see answered leaves no
// other line.
void Manager::LogBoxAsked(const char* call,
                          const std::string& box,
                          const scheduler::BoxCallContext& evidence) const {
  base::Log(base::Event::kBoxAsked,
            {{"call", call},
             {"box", box},
             {"epoch", this->epoch},
             {"confirmed_ms", base::Millis(evidence.confirmed_ago)},
             {"heard_ms", evidence.last_answer_ago < base::Micros::zero()
                              ? -1
                              : base::Millis(evidence.last_answer_ago)},
             {"presumed_over", evidence.runs_presumed_over}});
}

void Manager::SendBox(const scheduler::MoveBox& order) {
  this->LogBoxAsked("move", order.box, order.context);
  const base::Micros sent = base::MonotonicNow();
  this->boxes.Move(order, this->epoch,
                   [this, order, sent,
                    lives = this->alive](scheduler::BoxCallOutcome outcome) {
                     if (!*lives)
                       return;
                     const base::Micros now = base::MonotonicNow();
                     base::Log(base::Event::kBoxMoved,
                               {{"box", order.box},
                                {"pool", order.pool},
                                {"epoch", this->epoch},
                                {"outcome", OutcomeName(outcome)},
                                {"took_ms", base::Millis(now - sent)}});
                     this->scheduler.MoveAnswered(order, outcome, now);
                     this->ActSoon();
                   });
}

void Manager::SendBox(const scheduler::MaintainBox& order) {
  this->LogBoxAsked("upkeep", order.box, order.context);
  const base::Micros sent = base::MonotonicNow();
  this->boxes.Upkeep(order, this->epoch,
                     [this, order, sent,
                      lives = this->alive](scheduler::BoxCallOutcome outcome) {
                       if (!*lives)
                         return;
                       const base::Micros now = base::MonotonicNow();
                       base::Log(base::Event::kUpkeepBegun,
                                 {{"box", order.box},
                                  {"wave", order.wave},
                                  {"epoch", this->epoch},
                                  {"outcome", OutcomeName(outcome)},
                                  {"took_ms", base::Millis(now - sent)}});
                       this->scheduler.MaintenanceAnswered(order, outcome, now);
                       this->ActSoon();
                     });
}

void Manager::ListBoxes(const std::string& page,
                        std::vector<scheduler::BoxInfo> so_far,
                        base::Micros asked) {
  this->boxes.List(
      page, [this, so_far = std::move(so_far), asked, lives = this->alive](
                std::optional<platform::BoxPage> result) mutable {
        if (!*lives)
          return;
        if (!result) {
          this->listing_boxes = false;
          return;
        }
        for (scheduler::BoxInfo& box : result->boxes) {
          if (HoldsBox(this->shard, box.name))
            so_far.push_back(std::move(box));
        }
        if (!result->next.empty()) {
          this->ListBoxes(result->next, std::move(so_far), asked);
          return;
        }
        this->listing_boxes = false;
        this->scheduler.SetBoxes(so_far, asked, base::MonotonicNow());
        this->ActSoon();
      });
}

}  // namespace quartzhoist::entry
