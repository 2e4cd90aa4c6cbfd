#include "scheduler/step_advice.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iterator>
#include <tuple>
#include <utility>

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Number of workers named in a first request: twice the number of tasks plus
// kSpareWorkers, at most kMaxFirstWorkers. Each named worker adds to the
// service's processing time; the platform documentation gives 30 per step as
// usual and 100 as the limit.
constexpr std::size_t kSpareWorkers = 4;
constexpr std::size_t kMaxFirstWorkers = 30;
constexpr std::size_t kMaxWorkers = 100;
// Each fruitless request doubles the next one, up to kMaxWorkers.
constexpr int kMaxDoublings = 5;
// Interval between requests, unless the last one was answered without a worker.
constexpr base::Micros kRetryInterval = milliseconds(500);
// Once all workers have been denied, they are asked for again after this time:
// the service may not have known a worker that has just started.
constexpr base::Micros kForgetDeniedAfter = milliseconds(2000);
// Tickets are not used within this time before they expire, since saving the
// placement and sending the start take some ms.
constexpr base::Micros kTicketMargin = milliseconds(150);
// The same for short-lived ones, as the inverse of a share of their validity.
constexpr int kMarginShare = 4;
// A step that has been denied everywhere, or gets unusable answers, asks at
// intervals that double up to 32 and 8 s.
constexpr int kMaxForgetDoublings = 4;
constexpr int kMaxRetryDoublings = 4;
// Until a step asks again that was passed over for others.
constexpr base::Micros kPostponement = milliseconds(100);
// The end of a request is noted this long after its time limit at the latest.
constexpr base::Micros kEndSlack = milliseconds(2000);

// A step may be denied a whole pool, so that each entry takes 8 bytes.
std::uint64_t Fingerprint(const jobs::WorkerIncarnation& worker) {
  constexpr std::uint64_t kMultiplier = 0x9E3779B97F4A7C15;
  return std::hash<std::string>()(worker.id) ^
         static_cast<std::uint64_t>(worker.start_ms) * kMultiplier;
}

}  // namespace

bool StepAdvice::HasTicket(const jobs::WorkerIncarnation& worker,
                           base::Micros now) const {
  const auto found = this->tickets.find(worker);
  return found != this->tickets.end() && now < found->second.usable_until;
}

std::vector<jobs::WorkerIncarnation> StepAdvice::WorkersWithTickets(
    base::Micros now) const {
  std::vector<jobs::WorkerIncarnation> found;
  for (const auto& [worker, ticket] : this->tickets) {
    if (this->HasTicket(worker, now))
      found.push_back(worker);
  }
  return found;
}

std::string StepAdvice::TicketFor(const jobs::WorkerIncarnation& worker) const {
  const auto found = this->tickets.find(worker);
  return found == this->tickets.end() ? std::string() : found->second.text;
}

void StepAdvice::DropTicket(const jobs::WorkerIncarnation& worker) {
  const auto found = this->tickets.find(worker);
  if (found == this->tickets.end())
    return;
  const base::Micros age = found->second.usable_until;
  this->tickets.erase(found);
  // The others stay known as allowed.
  for (auto& [other, ticket] : this->tickets) {
    if (ticket.usable_until <= age)
      ticket.usable_until = {};
  }
}

bool StepAdvice::MayRequest(base::Micros now) const {
  const bool is_open = this->in_flight && now < this->in_flight_until;
  return !is_open && now >= this->not_before;
}

AdviceUse StepAdvice::UseOfRequest(
    const std::vector<AdviceCandidate>& candidates,
    bool has_room) const {
  const bool may_start = has_room && !this->is_unused &&
                         this->denied_rounds == 0 &&
                         std::any_of(candidates.begin(), candidates.end(),
                                     [this](const AdviceCandidate& candidate) {
                                       return candidate.has_room &&
                                              !this->IsDenied(candidate.worker);
                                     });
  return may_start ? AdviceUse::kStart : AdviceUse::kSpeculative;
}

bool StepAdvice::WaitsForRoom(bool has_room) const {
  return !has_room && !this->tickets.empty();
}

void StepAdvice::Postpone(base::Micros now) {
  this->not_before = now + kPostponement;
}

std::vector<jobs::WorkerIncarnation> StepAdvice::Request(
    std::vector<AdviceCandidate> candidates,
    std::size_t tasks,
    bool has_ticket,
    base::Micros now) {
  if (now >= this->forget_denied_at) {
    this->denied.clear();
    this->forget_denied_at = base::Micros::max();
  }
  const bool is_denied_everywhere =
      !this->denied.empty() &&
      std::none_of(candidates.begin(), candidates.end(),
                   [this](const AdviceCandidate& candidate) {
                     return this->tickets.contains(candidate.worker);
                   });
  // 1. Leave out what a request would not add to. With tickets at hand, only a
  // worker with room helps.
  std::erase_if(candidates, [&](const AdviceCandidate& candidate) {
    return (has_ticket && !candidate.has_room) ||
           this->HasTicket(candidate.worker, now) ||
           this->IsDenied(candidate.worker);
  });
  if (candidates.empty()) {
    this->not_before = now + kRetryInterval;
    if (is_denied_everywhere && this->forget_denied_at == base::Micros::max()) {
      const int doublings =
          std::min(this->denied_rounds++, kMaxForgetDoublings);
      this->forget_denied_at = now + kForgetDeniedAfter * (1 << doublings);
    }
    return {};
  }
  // 2. Those with room first, then those known to be allowed, then the least
  // loaded: they are most likely to have room when the answer arrives.
  const auto rank = [this](const AdviceCandidate& candidate) {
    return std::make_tuple(!candidate.has_room,
                           !this->tickets.contains(candidate.worker),
                           candidate.used_cpu_millis);
  };
  std::stable_sort(candidates.begin(), candidates.end(),
                   [&rank](const AdviceCandidate& a, const AdviceCandidate& b) {
                     return rank(a) < rank(b);
                   });
  const std::size_t count =
      std::min(candidates.size(), this->NextCount(tasks, has_ticket));
  std::vector<jobs::WorkerIncarnation> named;
  for (std::size_t i = 0; i < count; ++i)
    named.push_back(std::move(candidates[i].worker));
  return named;
}

void StepAdvice::RequestSent(base::Micros time_limit, base::Micros now) {
  this->in_flight = true;
  this->in_flight_until = now + time_limit + kEndSlack;
  this->requested_at = now;
}

// A request is fruitless if all that it names are denied, or have no room.
std::size_t StepAdvice::NextCount(std::size_t tasks, bool has_ticket) {
  const bool is_fruitless = this->denied_all || has_ticket;
  this->fruitless_requests =
      is_fruitless ? std::min(this->fruitless_requests + 1, kMaxDoublings) : 0;
  const std::size_t first =
      std::min(kMaxFirstWorkers, 2 * tasks + kSpareWorkers);
  return std::min(kMaxWorkers, first << this->fruitless_requests);
}

// A service that is mute or full delays no step more than others: AdviceCalls
// bounds the calls of all.
void StepAdvice::RequestFailed(AdviceOutcome outcome, base::Micros now) {
  this->in_flight = false;
  const bool is_unusable = outcome == AdviceOutcome::kUnusable;
  const int doublings =
      is_unusable ? std::min(this->unusable_answers++, kMaxRetryDoublings) : 0;
  this->not_before = now + kRetryInterval * (1 << doublings);
}

// The next request follows a denial at once: it names other workers, so that
// they end.
void StepAdvice::RequestAnswered(
    const std::vector<jobs::WorkerIncarnation>& asked,
    const Advice& answer,
    base::Micros service_time,
    base::Micros now) {
  this->in_flight = false;
  this->unusable_answers = 0;
  this->denied_all = answer.tickets.empty();
  this->not_before =
      this->denied_all ? now : this->requested_at + kRetryInterval;
  // Counted from the earliest time at which the service can have decided,
  // however long the request waited for its turn. If it had decided before, the
  // worker rejects the ticket.
  const base::Micros decided_at =
      std::max(this->requested_at, now - service_time);
  const base::Micros margin =
      std::min(kTicketMargin, answer.valid_for / kMarginShare);
  const base::Micros usable_until = decided_at + answer.valid_for - margin;
  if (!answer.tickets.empty()) {
    this->is_unused = true;
    this->denied_rounds = 0;
  }
  for (const jobs::WorkerIncarnation& worker : asked) {
    const auto ticket = answer.tickets.find(worker);
    if (ticket == answer.tickets.end()) {
      this->tickets.erase(worker);
      this->denied.push_back(Fingerprint(worker));
    } else {
      this->tickets[worker] = {.text = ticket->second,
                               .usable_until = usable_until};
    }
  }
  std::sort(this->denied.begin(), this->denied.end());
}

bool StepAdvice::IsDenied(const jobs::WorkerIncarnation& worker) const {
  return std::binary_search(this->denied.begin(), this->denied.end(),
                            Fingerprint(worker));
}

}  // namespace quartzhoist::scheduler
