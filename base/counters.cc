#include "base/counters.h"

#include <fmt/format.h>

namespace quartzhoist::base {

std::string PrometheusText(const Counters& counters) {
  std::string text;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const CounterInfo& info = kCounters[i];
    text += fmt::format(
        "# HELP quartzhoist_{0}_total {1}\n"
        "# TYPE quartzhoist_{0}_total counter\n"
        "quartzhoist_{0}_total {2}\n",
        info.name, info.help, counters.Get(static_cast<Counter>(i)));
  }
  return text;
}

}  // namespace quartzhoist::base
