// The model's announcements: workers write them to the store at each heartbeat,
// and owners read them from its change feed.

#include <algorithm>

#include <fmt/format.h>

#include "testing/scheduler_model.h"

namespace quartzhoist::testing {

namespace {

constexpr std::int64_t kMinFeedDelayMs = 5;
constexpr std::int64_t kMaxFeedDelayMs = 100;
// After an outage owners connect again.
constexpr std::int64_t kMaxReconnectMs = 600;

}  // namespace

bool SchedulerModel::IsStoreDown() const {
  return this->now < this->store_down_until;
}

bool SchedulerModel::TakesAnnouncements() const {
  return this->now >= this->announcements_down_until;
}

void SchedulerModel::BeginAnnouncementOutage(base::Micros delay,
                                             base::Micros span,
                                             bool is_whole_store) {
  this->ScheduleAfter(delay, [this, span, is_whole_store] {
    const base::Micros end = this->now + span;
    this->LogEvent(fmt::format("announcements are down to {:.2f} s{}",
                               base::Seconds(end),
                               is_whole_store ? ", as the whole store" : ""));
    this->announcements_down_until =
        std::max(this->announcements_down_until, end);
    if (!is_whole_store)
      return;
    this->store_down_until = std::max(this->store_down_until, end);
    for (auto& [id, stored] : this->jobs)
      stored.unavailable_until = std::max(stored.unavailable_until, end);
  });
}

void SchedulerModel::Heartbeat(Worker& worker) {
  if (worker.withdrawn || this->now < worker.next_heartbeat)
    return;
  if (!this->TakesAnnouncements()) {
    worker.next_heartbeat =
        this->announcements_down_until + this->Between(0, 1500);
    return;
  }
  worker.next_heartbeat = this->now + this->Between(1400, 1600);
  this->announcements[worker.id] = this->InfoOf(worker);
  this->TellOwners(worker.id);
}

void SchedulerModel::RemoveAnnouncement(const std::string& worker) {
  this->announcements.erase(worker);
  this->TellOwners(worker);
}

void SchedulerModel::TellOwners(const std::string& worker) {
  for (std::size_t i = 0; i < this->owners.size(); ++i) {
    this->ScheduleAfter(this->Between(kMinFeedDelayMs, kMaxFeedDelayMs),
                        [this, i, worker] { this->TellOwner(i, worker); });
  }
}

// The owner reads the row as it is by then, or that it is gone.
void SchedulerModel::TellOwner(std::size_t index, const std::string& worker) {
  const bool is_down = !this->TakesAnnouncements();
  const base::Micros resume_at = this->owners[index].paused_until;
  if (is_down || this->now < resume_at) {
    const base::Micros from = std::max(
        is_down ? this->announcements_down_until : base::Micros::zero(),
        resume_at);
    const std::int64_t latest = is_down ? kMaxReconnectMs : kMaxFeedDelayMs;
    this->ScheduleAfter(
        from - this->now + this->Between(0, latest),
        [this, index, worker] { this->TellOwner(index, worker); });
    return;
  }
  scheduler::Scheduler& owner = *this->owners[index].scheduler;
  const auto found = this->announcements.find(worker);
  if (found == this->announcements.end())
    owner.WorkerDeregistered(worker, this->now);
  else
    owner.UpdateWorker(found->second, this->now);
}

}  // namespace quartzhoist::testing
