#include "entry/manager.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "entry/decision_log.h"
#include "entry/timing.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// What a lease is granted for: past the time in which another owner takes over
// (1.3 to 1.9 s and its looks), short enough that a dead worker's tasks start
// again.
constexpr base::Micros kLease = milliseconds(4000);
// What a start grants at least: until the worker's next look has been answered.
// Starts do not renew, or a worker that has died would seem leased for longer.
constexpr base::Micros kStartLease = milliseconds(2500);
// The ownership is in doubt this long before orders stop. A slow store's
// confirmations (some 0.4 s) leave 0.3 s, a quick one's 0.69 s.
constexpr base::Micros kDoubt = milliseconds(350);
constexpr base::Micros kListPeriod = milliseconds(1500);

// Where orders stop before another may take over, no lease that they grant
// lasts longer than this after a confirmation.
base::Micros GrantBoundOf(const Settings& settings) {
  if (settings.deployment.epochs_checked)
    return kGrantBound;
  return std::min(kGrantBound, kOwnerSilence + settings.longest_lease);
}

// In doubt an owner that stops itself grants the longest lease there is; any
// other grants the usual one.
base::Micros LongestGrantOf(const Settings& settings) {
  return settings.deployment.epochs_checked
             ? std::min(kLease, settings.longest_lease)
             : settings.longest_lease;
}

scheduler::SchedulerLimits LimitsOf(const Settings& settings,
                                    const Shard& shard,
                                    std::uint64_t epoch) {
  scheduler::SchedulerLimits limits;
  limits.shards = shard.count;
  limits.lease_duration = std::min(kLease, settings.longest_lease);
  limits.max_lease_after_confirmation = GrantBoundOf(settings);
  limits.max_grant = WithClockSlack(LongestGrantOf(settings));
  limits.max_lease = WithClockSlack(settings.longest_lease);
  limits.max_stop_time = settings.stop_time;
  limits.epoch = epoch;
  limits.fleet = {.move_duration = settings.move_time,
                  .maintenance_duration = settings.upkeep_time};
  return limits;
}

}  // namespace

Manager::Manager(base::Loop& on,
                 platform::Store& from,
                 base::Counters& count,
                 const Settings& chosen,
                 const Shard& of,
                 std::uint64_t own_epoch,
                 base::Micros confirmed_before,
                 Authority given)
    : loop(on),
      store(from),
      counters(count),
      settings(chosen),
      shard(of),
      epoch(own_epoch),
      earlier_confirmed(confirmed_before),
      authority(std::move(given)),
      order_client(on, {.reset_on_close = true}),
      workers(this->order_client, [this] { return this->MayOrder(); }),
      boxes(this->order_client,
            chosen.boxes,
            chosen.id,
            [this] { return this->IsCertain(); }),
      advisor(this->order_client, chosen.advice),
      scheduler(LimitsOf(chosen, of, own_epoch)),
      waves(from,
            of,
            [this](const scheduler::Wave& share,
                   const std::vector<std::string>& begun) {
              this->scheduler.SetWave(share, begun, base::MonotonicNow());
            }),
      quotas(on,
             from,
             of,
             own_epoch,
             [this](const std::string& organisation, int share) {
               this->scheduler.SetQuotaShare(organisation, share);
             }),
      box_calls(from, of, own_epoch, this->BoxCallEvents()),
      save_policy(from.deployment().writes_span_parts),
      timer(on, [this] { this->Act(); }),
      soon(on, [this] { this->Act(); }),
      alive(std::make_shared<bool>(true)) {
  this->ReadKept();
}

Manager::~Manager() {
  *this->alive = false;
}

// --- Taking over ---

void Manager::SetConfig(const jobs::Config& next) {
  this->config = next;
  this->has_config = true;
  if (this->begun)
    this->scheduler.SetConfig(next, base::MonotonicNow());
  else
    this->Begin();
}

void Manager::SetWave(const scheduler::Wave& wave) {
  this->waves.Put(wave);
}

void Manager::Confirmed(base::Micros asked) {
  this->confirmed_at = asked;
  this->save_policy.Confirmed(asked);
  this->renewed_in_doubt = false;
  this->scheduler.OwnershipConfirmed(asked, this->authority.certain_until());
}

// --- Whether orders may leave ---

bool Manager::MayOrder() const {
  return base::MonotonicNow() < this->authority.orders_until();
}

// A worker refuses an earlier owner's orders from the next one's first look on.
// A box takes them until the next one calls it: an owner that stood still sent
// five upkeeps 2.8 s after another had begun as many as the wave allows.
bool Manager::IsCertain() const {
  return base::MonotonicNow() < this->authority.certain_until();
}

bool Manager::IsInDoubt() const {
  return base::MonotonicNow() > this->authority.orders_until() - kDoubt;
}

base::Micros Manager::GrantBound() const {
  return GrantBoundOf(this->settings);
}

// Others may take over soon: what is on its way to workers and boxes is called
// back, and nothing further leaves until the store confirms the ownership.
void Manager::HoldOrders() {
  if (this->orders_held)
    return;
  this->orders_held = true;
  base::Log(
      base::Event::kOrdersHeld,
      {{"epoch", this->epoch}, {"in_flight", this->order_client.in_flight()}});
  this->order_client.GiveUpAll();
}

void Manager::ResumeOrders() {
  if (!this->orders_held)
    return;
  this->orders_held = false;
  base::Log(base::Event::kOrdersResumed, {{"epoch", this->epoch}});
  std::vector<jobs::WorkerLife> waiting;
  for (const auto& [worker, queue] : this->orders)
    waiting.push_back(worker);
  for (const jobs::WorkerLife& worker : waiting)
    this->SendNext(worker);
}

// The store has not confirmed the ownership when it should have: before orders
// must stop, what runs gets the longest lease, so that a store that is away for
// all interrupts nothing. If another has taken over, it renews or stops it.
void Manager::RenewInDoubt() {
  if (this->renewed_in_doubt)
    return;
  this->renewed_in_doubt = true;
  const base::Micros now = base::MonotonicNow();
  const base::Micros end = std::min(now + this->settings.longest_lease,
                                    this->confirmed_at + this->GrantBound());
  for (const auto& [id, worker] : this->scheduler.all_workers()) {
    const std::int64_t deadline = this->scheduler.LeaseDeadline(id, end);
    const bool wanted = worker.has_reported && worker.is_lease_recorded &&
                        !worker.idle() && worker.failed_calls == 0 &&
                        deadline > 0;
    if (!wanted)
      continue;
    this->scheduler.LeaseGranted(id, end);
    // The look that waits there for an end brings the news.
    this->workers.Look(
        this->To(id),
        {.worker = id, .acknowledged = 0, .max_wait = {}, .renews_lease = true},
        deadline, [](const platform::LookResult&) {});
  }
}

// --- Actions ---

// News that comes together is acted on together; a turn walks over all workers,
// so that turns keep a distance.
void Manager::ActSoon() {
  if (this->act_is_due)
    return;
  this->act_is_due = true;
  const base::Micros now = base::MonotonicNow();
  const base::Micros gap =
      std::min(this->turn_time * kTurnGapTimes, kLongestTurnGap);
  this->soon.StartOnce(std::max(kSoon, this->last_turn + gap - now));
}

void Manager::CarryAll() {
  if (!this->MayOrder())
    return;
  for (scheduler::Action& action : this->scheduler.TakeActions())
    this->Carry(std::move(action));
}

void Manager::Act() {
  this->act_is_due = false;
  this->last_turn = base::MonotonicNow();
  if (!this->begun) {
    this->RecordBoxCalls();
    if (this->kept_jobs)
      this->ReadRest();
    return;
  }
  if (this->IsInDoubt())
    this->RenewInDoubt();
  if (this->MayOrder()) {
    this->ResumeOrders();
    if (this->quotas.IsDue(this->last_turn))
      this->quotas.Act(this->scheduler.QuotaNeeds(),
                       this->scheduler.KnowsAllRuns(this->last_turn),
                       this->last_turn);
    this->scheduler.Advance(this->last_turn);
    this->CarryAll();
    this->RecordBoxCalls();
  } else {
    this->HoldOrders();
  }
  if (this->save_policy.may_write(base::MonotonicNow())) {
    this->SaveAll();
    this->RecordWorkers();
    this->WriteCounts();
    this->waves.Act(base::MonotonicNow());
  }
  this->ReadJobsAgain();
  this->LogPools();
  const base::Micros now = base::MonotonicNow();
  if (now >= this->next_list && !this->listing_boxes &&
      this->scheduler.needs_box_list() && !this->settings.boxes.empty()) {
    this->listing_boxes = true;
    this->next_list = now + kListPeriod;
    this->ListBoxes("", {}, now);
  }
  this->turn_time = base::MonotonicNow() - this->last_turn;
  if (this->scheduler.fenced())
    this->authority.on_fenced();
}

void Manager::Carry(scheduler::Action action) {
  struct Visitor {
    Manager& manager;

    void operator()(scheduler::StartRun& order) const {
      manager.Enqueue(std::move(order));
    }
    void operator()(scheduler::StopRun& order) const {
      manager.Enqueue(std::move(order));
    }
    void operator()(scheduler::ThrottleRun& order) const {
      manager.Enqueue(std::move(order));
    }
    void operator()(const scheduler::PollWorker& order) const {
      manager.SendLook(order);
    }
    void operator()(scheduler::SaveProgress& save) const {
      save.text =
          EncodeKept({.shard = manager.shard.number, .text = save.text});
      manager.saves.Add(std::move(save));
    }
    void operator()(const scheduler::LoadJob& read) const {
      manager.ReadJob(read.job);
    }
    void operator()(const scheduler::RequestAdvice& ask) const {
      manager.Ask(ask);
    }
    void operator()(const scheduler::MoveBox& order) const {
      manager.box_calls.Ask(order);
    }
    void operator()(const scheduler::MaintainBox& order) const {
      manager.box_calls.Ask(order);
    }
    void operator()(const scheduler::ReportWave& report) const {
      manager.waves.Report(report);
    }
    void operator()(const scheduler::JobFinished& over) const {
      LogJobOver(over);
    }
    void operator()(const scheduler::WorkerLost& lost) const {
      manager.counters.Add(base::Counter::kWorkersLost);
      LogWorkerLost(lost);
    }
    void operator()(const scheduler::WorkerRestarted& restarted) const {
      LogWorkerRestarted(restarted);
    }
    void operator()(const scheduler::RunEndIgnored& skipped) const {
      LogEndSkipped(skipped);
    }
    void operator()(const scheduler::TaskGivenUp& task) const {
      manager.counters.Add(base::Counter::kTasksGivenUp);
      LogTaskGivenUp(task);
    }
    void operator()(const scheduler::LogNote& note) const { LogNote(note); }
  };
  std::visit(Visitor{*this}, action);
}

platform::OrderTo Manager::To(const jobs::WorkerLife& worker) const {
  const scheduler::Worker* known = this->scheduler.FindWorker(worker);
  return {.worker = worker,
          .address = known ? known->info.address : std::string(),
          .epoch = this->epoch};
}

void Manager::Enqueue(Order order) {
  const jobs::WorkerLife to =
      std::visit([](const auto& one) { return one.worker; }, order);
  this->orders[to].waiting.push_back(std::move(order));
  this->SendNext(to);
}

void Manager::SendNext(const jobs::WorkerLife& worker) {
  WorkerOrders& queue = this->orders[worker];
  if (queue.in_flight || queue.waiting.empty() || !this->MayOrder())
    return;
  if (!this->scheduler.FindWorker(worker)) {
    const std::deque<Order> waiting = std::move(queue.waiting);
    this->orders.erase(worker);
    this->GiveBack(waiting);
    return;
  }
  const Order order = std::move(queue.waiting.front());
  queue.waiting.pop_front();
  queue.in_flight = true;
  std::visit([this, &worker](const auto& one) { this->Send(worker, one); },
             order);
}

// The life that they were meant for is over: none of them leaves.
void Manager::GiveBack(const std::deque<Order>& given) {
  for (const Order& order : given) {
    if (const auto* start = std::get_if<scheduler::StartRun>(&order))
      this->scheduler.StartAnswered(*start, scheduler::CommandOutcome::kNotSent,
                                    base::MonotonicNow());
  }
}

void Manager::OrderAnswered(const jobs::WorkerLife& worker,
                            scheduler::CommandOutcome outcome) {
  const bool silent = outcome == scheduler::CommandOutcome::kUnknown;
  WorkerOrders& queue = this->orders[worker];
  queue.in_flight = false;
  // A worker that does not answer holds nothing up: starts that have not left
  // go elsewhere.
  std::deque<Order> waiting;
  if (silent)
    waiting.swap(queue.waiting);
  for (Order& order : waiting) {
    if (const auto* start = std::get_if<scheduler::StartRun>(&order)) {
      this->scheduler.StartAnswered(*start, scheduler::CommandOutcome::kNotSent,
                                    base::MonotonicNow());
    } else {
      queue.waiting.push_back(std::move(order));
    }
  }
  this->SendNext(worker);
  // What was carried out frees nothing: a listing will tell its end.
  if (outcome != scheduler::CommandOutcome::kDone)
    this->ActSoon();
}

void Manager::Send(const jobs::WorkerLife& worker,
                   const scheduler::StartRun& order) {
  const base::Micros now = base::MonotonicNow();
  const scheduler::Worker* known = this->scheduler.FindWorker(worker);
  // Looks renew the lease; a start only sees that it has one.
  const base::Micros end =
      std::min(std::max(known->latest_lease_end, now + kStartLease),
               this->scheduler.LeaseEnd(now));
  const std::int64_t deadline = this->scheduler.LeaseDeadline(worker, end);
  const bool wanted = this->scheduler.IsStillNeeded(order);
  if (deadline <= 0 || end <= now || !wanted) {
    this->scheduler.StartAnswered(order, scheduler::CommandOutcome::kNotSent,
                                  now);
    this->orders[worker].in_flight = false;
    this->SendNext(worker);
    return;
  }
  this->scheduler.LeaseGranted(worker, end);
  this->workers.Start(
      this->To(worker), order, deadline,
      [this, worker, order,
       lives = this->alive](const platform::StartResult& result) {
        if (!*lives)
          return;
        const scheduler::CommandOutcome outcome = result.outcome;
        const bool unknown = outcome == scheduler::CommandOutcome::kUnknown;
        base::Log(
            unknown ? base::Event::kRunUnsettled : base::Event::kRunStarted,
            {{"task", platform::TaskName(order.task)},
             {"run", order.run},
             {"worker", worker.id},
             {"outcome",
              base::NameOf(scheduler::kCommandOutcomeNames, outcome)}});
        this->scheduler.StartAnswered(order, outcome, base::MonotonicNow(),
                                      result.clock_ms);
        this->OrderAnswered(worker, outcome);
      });
}

void Manager::Send(const jobs::WorkerLife& worker,
                   const scheduler::StopRun& order) {
  this->workers.Stop(this->To(worker), order,
                     [this, worker, order,
                      lives = this->alive](scheduler::CommandOutcome outcome) {
                       if (!*lives)
                         return;
                       this->scheduler.StopAnswered(order, outcome,
                                                    base::MonotonicNow());
                       this->OrderAnswered(worker, outcome);
                     });
}

void Manager::Send(const jobs::WorkerLife& worker,
                   const scheduler::ThrottleRun& order) {
  this->workers.Pace(
      this->To(worker), order,
      [this, worker, lives = this->alive](scheduler::CommandOutcome outcome) {
        if (!*lives)
          return;
        this->OrderAnswered(worker, outcome);
      });
}

void Manager::SendLook(const scheduler::PollWorker& order) {
  const base::Micros now = base::MonotonicNow();
  const base::Micros end = this->scheduler.LeaseEnd(now);
  const jobs::WorkerLife worker = order.worker;
  const std::int64_t deadline =
      order.renews_lease ? this->scheduler.LeaseDeadline(worker, end) : 0;
  this->scheduler.PollSent(order, now);
  if (deadline > 0)
    this->scheduler.PollGrantsLease(worker, end);
  this->workers.Look(
      this->To(worker), order, deadline,
      [this, worker, lives = this->alive](const platform::LookResult& result) {
        if (!*lives)
          return;
        const base::Micros then = base::MonotonicNow();
        if (result.outcome == scheduler::CommandOutcome::kDone)
          this->scheduler.WorkerReported(worker, result.listing, then);
        else
          this->scheduler.PollFailed(worker, result.outcome, then);
        this->ActSoon();
      });
}

void Manager::Ask(const scheduler::RequestAdvice& ask) {
  this->advisor.Ask(ask, [this, ask, lives = this->alive](
                             const std::optional<scheduler::Advice>& advice) {
    if (!*lives)
      return;
    this->scheduler.AdviceAnswered(ask, advice, base::MonotonicNow());
    this->ActSoon();
  });
}

}  // namespace quartzhoist::entry
