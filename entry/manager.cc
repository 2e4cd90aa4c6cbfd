#include "entry/manager.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "entry/timing.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// Longer than a takeover by another owner (1.3 to 1.9 s plus its first polls),
// short enough that the tasks of a dead worker are restarted soon.
constexpr base::Micros kLeaseDuration = milliseconds(4000);
// The ownership counts as expiring this long before commands stop.
// Confirmations from a slow store (about 0.4 s) leave a margin of 0.3 s, those
// from a fast store 0.69 s.
constexpr base::Micros kExpiryMargin = milliseconds(350);

// Maximum time from an ownership confirmation to the end of a lease. If epochs
// are not checked, commands stop before another owner may take over, so that
// the last lease is granted within kOwnerSilence.
base::Micros MaxLeaseAfterConfirmationFor(const Settings& settings) {
  if (settings.deployment.epochs_checked)
    return kMaxLeaseAfterConfirmation;
  return std::min(kMaxLeaseAfterConfirmation,
                  kOwnerSilence + settings.max_lease);
}

// An owner whose commands stop when its ownership expires extends leases to the
// longest one shortly before. Any other owner grants the usual lease.
base::Micros MaxGrantFor(const Settings& settings) {
  return settings.deployment.epochs_checked
             ? std::min(kLeaseDuration, settings.max_lease)
             : settings.max_lease;
}

// The platform removes the announcement of a worker after three heartbeats of
// silence, though not always while its store is away. Half a heartbeat is left
// for a start to reach the worker.
base::Micros MaxAnnouncementAgeFor(const Settings& settings) {
  return settings.worker_heartbeat * 5 / 2;
}

scheduler::SchedulerLimits SchedulerLimitsFor(
    const Settings& settings,
    const platform::Deployment& deployment,
    const Shard& shard,
    std::uint64_t epoch) {
  scheduler::SchedulerLimits limits;
  limits.shards = shard.count;
  limits.lease_duration = std::min(kLeaseDuration, settings.max_lease);
  limits.max_lease_after_confirmation = MaxLeaseAfterConfirmationFor(settings);
  limits.max_grant = WithClockDrift(MaxGrantFor(settings));
  limits.max_lease = WithClockDrift(settings.max_lease);
  limits.max_stop_time = settings.max_stop_time;
  limits.max_announcement_age = MaxAnnouncementAgeFor(settings);
  limits.epoch = epoch;
  limits.max_progress_bytes = MaxProgressBytes(deployment.row_bytes);
  limits.fleet = {.move_duration = settings.move_duration,
                  .maintenance_duration = settings.upkeep_duration};
  return limits;
}

// Bytes of an answer of a worker, a box or the advice service; the longest are
// pages of the list of boxes. Once parsed it may take some forty times its
// size.
constexpr std::size_t kMaxCommandAnswer = 4u << 20U;

}  // namespace

ShardManager::ShardManager(base::Loop& loop,
                           platform::Store& store,
                           base::Counters& counters,
                           const Settings& settings,
                           const Shard& shard,
                           std::uint64_t epoch,
                           base::Micros earlier_confirmed,
                           Authority authority,
                           std::shared_ptr<http::ByteBudget> command_answers)
    : loop(loop),
      store(store),
      counters(counters),
      settings(settings),
      shard(shard),
      epoch(epoch),
      earlier_confirmed(earlier_confirmed),
      authority(std::move(authority)),
      command_client(loop,
                     {.max_answer = kMaxCommandAnswer,
                      .answers = std::move(command_answers),
                      .reset_on_close = true,
                      .counters = &counters}),
      workers(this->command_client, [this] { return this->MaySendCommands(); }),
      boxes(this->command_client,
            settings.boxes_address,
            settings.id,
            [this] { return this->IsOwnershipCertain(); }),
      advisor(this->command_client, settings.advice_address),
      scheduler(SchedulerLimitsFor(settings, store.deployment(), shard, epoch)),
      waves(store,
            shard,
            [this](const scheduler::Wave& share,
                   const std::vector<std::string>& begun) {
              this->scheduler.SetWave(share, begun, base::MonotonicNow());
            }),
      quotas(loop,
             store,
             shard,
             epoch,
             [this](const std::string& organisation, int share) {
               this->scheduler.SetQuotaShare(organisation, share);
             }),
      box_calls(store, shard, epoch, this->BoxCallEvents()),
      box_lister(loop,
                 this->boxes,
                 shard,
                 settings.box_reads_per_second,
                 epoch * kMaxShards + static_cast<std::uint64_t>(shard.number),
                 this->OnBoxesListed()),
      save_policy(store.deployment().writes_span_parts),
      tick_timer(loop, [this] { this->RunCycle(); }),
      cycle_timer(loop, [this] { this->RunCycle(); }),
      alive(std::make_shared<bool>(true)) {
  this->StartTakeover();
}

ShardManager::~ShardManager() {
  this->ReportSavedFailures();
  *this->alive = false;
}

// --- Configuration and ownership events ---

void ShardManager::SetConfig(const jobs::Config& config) {
  this->config = config;
  this->has_config = true;
  if (this->started)
    this->scheduler.SetConfig(config, base::MonotonicNow());
  else
    this->StartIfLoaded();
}

void ShardManager::SetWave(const scheduler::Wave& wave) {
  this->waves.AddWave(wave);
}

void ShardManager::SetEvacuatedZones(const std::set<std::string>& zones) {
  this->scheduler.SetEvacuatedZones(zones);
  this->has_evacuated_zones = true;
  if (this->started)
    this->ScheduleCycle();
  else
    this->StartIfLoaded();
}

void ShardManager::OwnershipConfirmed(base::Micros asked) {
  this->confirmed_at = asked;
  this->save_policy.OnOwnershipConfirmed(asked);
  this->leases_extended = false;
  this->scheduler.OwnershipConfirmed(asked, this->authority.certain_until());
}

// --- Whether commands may be sent ---

bool ShardManager::MaySendCommands() const {
  return base::MonotonicNow() < this->authority.commands_until();
}

// Workers refuse an earlier owner's commands once the next owner has polled
// them, but a box accepts them until the next owner calls it. Box calls
// therefore require a certain ownership: without this check, a suspended owner
// started maintenance of five boxes 2.8 s after its successor had started as
// many as the wave allows.
bool ShardManager::IsOwnershipCertain() const {
  return base::MonotonicNow() < this->authority.certain_until();
}

bool ShardManager::IsOwnershipExpiring() const {
  return base::MonotonicNow() >
         this->authority.commands_until() - kExpiryMargin;
}

base::Micros ShardManager::MaxLeaseAfterConfirmation() const {
  return MaxLeaseAfterConfirmationFor(this->settings);
}

GrantBounds ShardManager::EarlierGrantBounds() const {
  return {
      .after_confirmation = WithClockDrift(this->MaxLeaseAfterConfirmation()),
      .longest_grant = WithClockDrift(MaxGrantFor(this->settings))};
}

// Another owner may take over soon: requests in flight to workers and boxes are
// aborted, and none is sent until the store confirms the ownership.
void ShardManager::SuspendCommands() {
  if (this->commands_suspended)
    return;
  this->commands_suspended = true;
  base::Log(base::Event::kOrdersHeld,
            {{"epoch", this->epoch},
             {"in_flight", this->command_client.in_flight()}});
  this->command_client.GiveUpAll();
}

void ShardManager::ResumeCommands() {
  if (!this->commands_suspended)
    return;
  this->commands_suspended = false;
  base::Log(base::Event::kOrdersResumed, {{"epoch", this->epoch}});
  std::vector<jobs::WorkerIncarnation> waiting;
  for (const auto& [worker, queue] : this->command_queues)
    waiting.push_back(worker);
  for (const jobs::WorkerIncarnation& worker : waiting)
    this->SendNextCommand(worker);
}

// The store has not confirmed the ownership in time. Before commands must stop,
// workers with runs are granted the longest lease, so that a store that is
// unavailable to all daemons interrupts no run. If another owner has taken
// over, it renews the leases or stops the runs.
void ShardManager::ExtendLeasesBeforeExpiry() {
  if (this->leases_extended)
    return;
  this->leases_extended = true;
  const base::Micros now = base::MonotonicNow();
  const base::Micros end =
      std::min(now + this->settings.max_lease,
               this->confirmed_at + this->MaxLeaseAfterConfirmation());
  for (const auto& [id, worker] : this->scheduler.all_workers()) {
    const std::int64_t deadline = this->scheduler.LeaseDeadline(id, end);
    const bool can_extend = worker.has_reported && worker.is_lease_recorded &&
                            !worker.idle() && worker.failed_calls == 0 &&
                            deadline > 0;
    if (!can_extend)
      continue;
    this->scheduler.LeaseGranted(id, end);
    // The report is ignored: the pending long poll delivers run ends.
    this->workers.Poll(
        this->AddresseeOf(id),
        {.worker = id, .acknowledged = 0, .max_wait = {}, .renews_lease = true},
        deadline, [](const platform::LookResult&) {});
  }
}

// --- Actions ---

// Events that arrive together are handled in one cycle. A cycle visits all
// workers, so a minimum gap is kept between cycles.
void ShardManager::ScheduleCycle() {
  if (this->cycle_is_scheduled)
    return;
  this->cycle_is_scheduled = true;
  const base::Micros now = base::MonotonicNow();
  const base::Micros gap =
      std::min(this->cycle_duration * kPassGapFactor, kMaxPassGap);
  this->cycle_timer.StartOnce(
      std::max(kBatchDelay, this->cycle_start + gap - now));
}

void ShardManager::PerformActions() {
  if (!this->MaySendCommands())
    return;
  for (scheduler::Action& action : this->scheduler.TakeActions())
    this->Perform(std::move(action));
}

// The owner that has saved a failure is the only one to report it, also if its
// commands were suspended by the time the store answered.
void ShardManager::ReportSavedFailures() {
  for (scheduler::Action& action : this->scheduler.TakeActions()) {
    if (std::holds_alternative<scheduler::JobFailed>(action))
      this->Perform(std::move(action));
  }
}

void ShardManager::RunCycle() {
  this->cycle_is_scheduled = false;
  this->cycle_start = base::MonotonicNow();
  if (!this->started) {
    this->RecordBoxCalls();
    if (this->stored_jobs)
      this->ReadStoredState();
    return;
  }
  if (this->IsOwnershipExpiring())
    this->ExtendLeasesBeforeExpiry();
  if (this->MaySendCommands()) {
    this->ResumeCommands();
    if (this->quotas.IsDue(this->cycle_start))
      this->quotas.Update(this->scheduler.QuotaNeeds(),
                          this->scheduler.KnowsAllRuns(this->cycle_start),
                          this->cycle_start);
    this->scheduler.Advance(this->cycle_start);
    this->PerformActions();
    this->RecordBoxCalls();
  } else {
    this->SuspendCommands();
  }
  if (this->save_policy.may_write(base::MonotonicNow())) {
    this->SavePendingProgress();
    this->RecordWorkers();
    this->WriteWaitingCounts();
    this->waves.Poll(base::MonotonicNow());
  }
  this->RetryJobReads();
  this->LogPoolStates();
  if (this->scheduler.needs_box_list() && !this->settings.boxes_address.empty())
    this->box_lister.ListIfDue(base::MonotonicNow());
  this->cycle_duration = base::MonotonicNow() - this->cycle_start;
  if (this->scheduler.fenced())
    this->authority.on_fenced();
}

}  // namespace quartzhoist::entry
