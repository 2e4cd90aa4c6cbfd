// Is a target worth sending to? A worker that fails everything it starts looks
// fast and idle, so load alone would feed it.

#ifndef DISPATCH_TARGET_HEALTH_H_
#define DISPATCH_TARGET_HEALTH_H_

#include "base/clock.h"
#include "base/enum_names.h"

namespace quartzhoist::dispatch {

enum class HealthState {
  kHealthy,
  kEjected,  // gets nothing until its time is up
  kProbing,  // gets one request at a time until one succeeds
};

inline constexpr base::EnumNames<HealthState, 3> kHealthStateNames{{
    {HealthState::kHealthy, "healthy"},
    {HealthState::kEjected, "ejected"},
    {HealthState::kProbing, "probing"},
}};

struct TargetHealth {
  HealthState state = HealthState::kHealthy;
  double failure_rate = 0;   // moving average, 0 to 1
  bool unreachable = false;  // the last failure: nothing could be sent
  base::Micros ejected_until{};
  base::Micros backoff{};  // the last ejection's length

  void NoteSuccess();
  // `nothing_sent`: it could not be reached, which no request can cause.
  void NoteFailure(bool nothing_sent);
  bool WantsEjection() const;
  void Eject(base::Micros now);
  // Moves an ejected target whose time is up to probing; true if it did.
  bool Advance(base::Micros now);
};

}  // namespace quartzhoist::dispatch

#endif  // DISPATCH_TARGET_HEALTH_H_
