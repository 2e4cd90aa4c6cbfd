#include "scheduler/advice_calls.h"

#include <algorithm>
#include <chrono>

namespace quartzhoist::scheduler {

namespace {

using std::chrono::milliseconds;

// Time for which the open calls may keep the service busy: longer than the gap
// between two passes (50 ms), so that it has work until the next one.
constexpr base::Micros kMaxBacklog = milliseconds(100);
constexpr std::size_t kMinOpen = 2;

// A call is given up after this multiple of the time that it should take: the
// earlier process of a machine may have left calls at the service.
constexpr int kTimeLimitFactor = 4;
constexpr base::Micros kMinTimeLimit = milliseconds(500);
// Also how long a service that was mute waits at most for the next call.
constexpr base::Micros kMaxTimeLimit = milliseconds(5000);
// For a service that takes as long by its configuration, or did lately.
constexpr base::Micros kMaxTimeLimitOfSlow = milliseconds(30'000);
constexpr int kMaxDoublings = 4;

// Share by which the expected answer time falls with a quicker answer, as its
// inverse.
constexpr int kAnswerTimeDecay = 8;

// Pause after a rejection, doubled with each further one.
constexpr base::Micros kFirstPause = milliseconds(50);
constexpr base::Micros kMaxPause = milliseconds(1000);

// The end of a call is noted this long after its time limit at the latest,
// unless it got lost in this process.
constexpr base::Micros kExpirySlack = milliseconds(2000);

}  // namespace

bool AdviceCalls::MaySend(AdviceUse use,
                          base::Micros service_time,
                          base::Micros now) const {
  if (now < this->not_before)
    return false;
  std::size_t most = kMaxOpen;
  if (service_time > base::Micros::zero())
    most = std::clamp(static_cast<std::size_t>(kMaxBacklog / service_time) + 1,
                      kMinOpen, kMaxOpen);
  if (this->calls.size() >= std::min(most, this->window))
    return false;
  return use == AdviceUse::kStart ||
         std::none_of(this->calls.begin(), this->calls.end(),
                      [](const auto& entry) {
                        return entry.second.use == AdviceUse::kSpeculative;
                      });
}

AdviceCalls::Sent AdviceCalls::Send(AdviceUse use,
                                    base::Micros service_time,
                                    base::Micros now) {
  const Sent sent{.id = ++this->totals.sent,
                  .time_limit = this->TimeLimit(service_time)};
  this->calls[sent.id] = {.use = use,
                          .service_time = service_time,
                          .sent_at = now,
                          .time_limit = sent.time_limit};
  return sent;
}

base::Micros AdviceCalls::TimeLimit(base::Micros service_time) const {
  const auto turns = static_cast<int>(this->calls.size()) + 1;
  const base::Micros expected =
      kTimeLimitFactor * std::max(this->answer_time, turns * service_time);
  const base::Micros most =
      std::clamp(expected, kMaxTimeLimit, kMaxTimeLimitOfSlow);
  const int doublings = std::min(this->silences, kMaxDoublings);
  return std::min(std::max(expected, kMinTimeLimit) * (1 << doublings), most);
}

void AdviceCalls::Ended(AdviceCallId id,
                        AdviceOutcome outcome,
                        base::Micros now) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end())
    return;
  const Call call = found->second;
  this->calls.erase(found);
  switch (outcome) {
    case AdviceOutcome::kAnswered:
    case AdviceOutcome::kUnusable:
      this->NoteAnswer(call, now);
      break;
    case AdviceOutcome::kRejected:
      this->NoteRejection(call, now);
      break;
    case AdviceOutcome::kUnanswered:
      this->NoteSilence(call, now);
      break;
  }
}

void AdviceCalls::Expire(base::Micros now) {
  for (auto it = this->calls.begin(); it != this->calls.end();) {
    const Call call = it->second;
    if (now <= call.sent_at + call.time_limit + kExpirySlack) {
      ++it;
      continue;
    }
    it = this->calls.erase(it);
    this->NoteSilence(call, now);
  }
}

void AdviceCalls::NoteAnswer(const Call& call, base::Micros now) {
  ++this->totals.answered;
  const base::Micros took = now - call.sent_at;
  this->answer_time = std::max(
      took, this->answer_time - (this->answer_time - took) / kAnswerTimeDecay);
  this->silences = 0;
  this->rejections = 0;
  this->window = std::min(this->window + 1, kMaxOpen);
}

void AdviceCalls::NoteRejection(const Call& call, base::Micros now) {
  ++this->totals.rejected;
  if (call.sent_at < this->last_setback)
    return;
  this->last_setback = now;
  const base::Micros first = std::max(kFirstPause, call.service_time);
  const int doublings = std::min(this->rejections++, kMaxDoublings);
  this->not_before = now + std::min(first * (1 << doublings), kMaxPause);
}

void AdviceCalls::NoteSilence(const Call& call, base::Micros now) {
  ++this->totals.unanswered;
  this->window = 1;
  if (call.sent_at < this->last_setback)
    return;
  this->last_setback = now;
  ++this->silences;
}

}  // namespace quartzhoist::scheduler
