// Second tries as a share of first tries, so that an outage cannot multiply
// the load.

#ifndef DISPATCH_RETRY_BUDGET_H_
#define DISPATCH_RETRY_BUDGET_H_

#include <algorithm>

#include "base/clock.h"

namespace quartzhoist::dispatch {

class RetryBudget {
 public:
  void NoteFirstTry() {
    this->tokens = std::min(kMaxTokens, this->tokens + kShareOfFirstTries);
  }

  // Lets a service with few requests retry at all.
  void Advance(base::Micros elapsed) {
    this->tokens = std::min(
        kMaxTokens, this->tokens + kTokensASecond * base::Seconds(elapsed));
  }

  // Takes a token if there is one.
  bool Take() {
    if (this->tokens < 1.0)
      return false;
    this->tokens -= 1.0;
    return true;
  }

 private:
  static constexpr double kShareOfFirstTries = 0.1;
  static constexpr double kTokensASecond = 1.0;
  static constexpr double kMaxTokens = 20.0;

  double tokens = kMaxTokens;
};

}  // namespace quartzhoist::dispatch

#endif  // DISPATCH_RETRY_BUDGET_H_
