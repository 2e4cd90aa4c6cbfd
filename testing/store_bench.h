// A store stand-in and a client of it on one loop, for tests.

#ifndef TESTING_STORE_BENCH_H_
#define TESTING_STORE_BENCH_H_

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

  void Until(const std::function<bool()>& holds) {
    while (!holds())
      this->loop.RunOnce();
  }
};

}  // namespace quartzhoist::testing

#endif  // TESTING_STORE_BENCH_H_
