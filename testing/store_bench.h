// A store stand-in and a client of it on one loop, for tests.

#ifndef TESTING_STORE_BENCH_H_
#define TESTING_STORE_BENCH_H_

#include <chrono>
#include <functional>

#include "base/counters.h"
#include "base/loop.h"
#include "http/client.h"
#include "platform/store.h"
#include "testing/store_standin.h"

namespace quartzhoist::testing {

struct StoreBench {
  base::Loop loop;
  base::Counters counters;
  StoreStandin standin{loop};
  http::Client client{loop};
  platform::Store store{client, standin.address(), platform::Deployment{},
                        counters};

  // False if it does not come to hold in this time.
  bool Within(base::Micros span, const std::function<bool()>& holds) {
    // Wakes the loop when nothing else does.
    base::Timer tick(this->loop, [] {});
    tick.StartEvery(std::chrono::milliseconds(20));
    const base::Micros end = base::MonotonicNow() + span;
    while (!holds() && base::MonotonicNow() < end)
      this->loop.RunOnce();
    return holds();
  }

  void Until(const std::function<bool()>& holds) {
    while (!holds())
      this->loop.RunOnce();
  }
};

}  // namespace quartzhoist::testing

#endif  // TESTING_STORE_BENCH_H_
