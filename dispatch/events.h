// What goes into the dispatcher and what comes out.

#ifndef DISPATCH_EVENTS_H_
#define DISPATCH_EVENTS_H_

#include <algorithm>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "base/clock.h"
#include "base/enum_names.h"
#include "base/verdict.h"
#include "dispatch/target_health.h"
#include "table/stored_row.h"

namespace quartzhoist::dispatch {

// A request inside one dispatcher. Never used twice.
using RequestId = std::uint64_t;
// A target inside one dispatcher, from Dispatcher::TargetAt().
using TargetIndex = std::uint32_t;

inline constexpr TargetIndex kNoTargetIndex = ~TargetIndex{0};

// How a try at a target ended.
enum class TryOutcome {
  kAnswered,      // a whole answer
  kFailedAnswer,  // a whole answer that says the target failed (5xx)
  kRefused,       // the target says that it did not run it
  kNotSent,       // nothing reached the target
  kLost,          // sent, and no whole answer came back
};

// Why a request was refused.
enum class Reason {
  kUnknownService,
  kNoTarget,  // no target of the pool may be used now
  kQueueFull,
  kDeadline,       // it could not be answered before its deadline
  kTargetsRefuse,  // every try allowed was refused or not sent
  kLost,           // sent, and its answer did not come back whole
  kStopping,
};

inline constexpr base::EnumNames<Reason, 7> kReasonNames{{
    {Reason::kUnknownService, "unknown_service"},
    {Reason::kNoTarget, "no_target"},
    {Reason::kQueueFull, "queue_full"},
    {Reason::kDeadline, "deadline"},
    {Reason::kTargetsRefuse, "targets_refuse"},
    {Reason::kLost, "lost"},
    {Reason::kStopping, "stopping"},
}};

// When to come back after an expected wait: never so soon that callers spin,
// never so late that a recovered pool stays idle.
constexpr base::Micros RetryAfter(base::Micros wait) {
  constexpr base::Micros kSoonest = std::chrono::milliseconds(200);
  constexpr base::Micros kLatest = std::chrono::seconds(30);
  return std::clamp(wait, kSoonest, kLatest);
}

struct Arrival {
  std::string_view service;
  base::Micros deadline{};  // an instant
  bool repeatable = false;  // may be sent again after it may have run
};

struct TryResult {
  RequestId request = 0;
  TryOutcome outcome = TryOutcome::kAnswered;
};

// Send the request to the target, with what is left of its time.
struct SendTry {
  RequestId request = 0;
  TargetIndex target = kNoTargetIndex;
  base::Micros timeout{};
};

// Pass the answer that the last try brought on to the caller.
struct PassAnswer {
  RequestId request = 0;
};

// Answer the caller at once that it will get nothing from a target.
struct Refuse {
  RequestId request = 0;
  base::Verdict verdict = base::Verdict::kNotRun;
  Reason reason = Reason::kNoTarget;
  base::Micros retry_after{};
};

// A leaving target has none of this process's requests in flight.
struct ReportDrained {
  TargetIndex target = kNoTargetIndex;
  table::Version epoch = 0;
};

// A target was ejected, may be tried again, or works again.
struct ReportHealth {
  TargetIndex target = kNoTargetIndex;
  HealthState health = HealthState::kHealthy;
};

using Action =
    std::variant<SendTry, PassAnswer, Refuse, ReportDrained, ReportHealth>;
using Actions = std::vector<Action>;

}  // namespace quartzhoist::dispatch

#endif  // DISPATCH_EVENTS_H_
