#include "dispatch/target_health.h"

#include <algorithm>

namespace quartzhoist::dispatch {

namespace {

using std::chrono::seconds;

// Four failures in a row, or two connections refused, cross the threshold.
constexpr double kFailureGain = 0.2;
constexpr double kUnreachableGain = 0.4;
constexpr double kEjectAbove = 0.5;
// After a probe succeeded: two more failures eject again.
constexpr double kRateAfterProbe = 0.3;
constexpr base::Micros kFirstEjection = seconds(1);
constexpr base::Micros kLongestEjection = seconds(30);

}  // namespace

void TargetHealth::NoteSuccess() {
  this->unreachable = false;
  if (this->state == HealthState::kProbing) {
    this->state = HealthState::kHealthy;
    this->failure_rate = kRateAfterProbe;
    return;
  }
  this->failure_rate -= kFailureGain * this->failure_rate;
  if (this->failure_rate < kFailureGain)
    this->backoff = {};
}

void TargetHealth::NoteFailure(bool nothing_sent) {
  this->unreachable = nothing_sent;
  const double gain = nothing_sent ? kUnreachableGain : kFailureGain;
  this->failure_rate += gain * (1.0 - this->failure_rate);
}

bool TargetHealth::WantsEjection() const {
  if (this->state == HealthState::kProbing)
    return true;
  return this->state == HealthState::kHealthy &&
         this->failure_rate > kEjectAbove;
}

void TargetHealth::Eject(base::Micros now) {
  this->state = HealthState::kEjected;
  this->backoff = this->backoff.count() == 0
                      ? kFirstEjection
                      : std::min(this->backoff * 2, kLongestEjection);
  this->ejected_until = now + this->backoff;
}

bool TargetHealth::Advance(base::Micros now) {
  if (this->state != HealthState::kEjected || now < this->ejected_until)
    return false;
  this->state = HealthState::kProbing;
  return true;
}

}  // namespace quartzhoist::dispatch
