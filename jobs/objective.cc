#include "jobs/objective.h"

#include <algorithm>
#include <cstdint>

namespace quartzhoist::jobs {

base::Micros LongestChain(const std::vector<Step>& steps,
                          std::size_t from,
                          const RunTimeOf& run_time_of) {
  const std::size_t count = steps.size();
  std::vector<base::Micros> chain_after(count);  // chain after each step
  base::Micros longest{};
  for (std::size_t s = count; s-- > 0;) {
    const Step& step = steps[s];
    const base::Micros chain = chain_after[s] + run_time_of(step);
    if (s == from)
      return chain;
    longest = std::max(longest, chain);
    for (const int earlier : step.depends_on) {
      base::Micros& successor_chain =
          chain_after[static_cast<std::size_t>(earlier)];
      successor_chain = std::max(successor_chain, chain);
    }
  }
  return longest;
}

base::Micros ObjectiveFor(const Queue& queue, base::Micros chain) {
  return queue.target_latency +
         base::Micros(static_cast<std::int64_t>(
             queue.extension * static_cast<double>(chain.count())));
}

}  // namespace quartzhoist::jobs
