#include "waves/steps.h"

#include <algorithm>
#include <map>
#include <set>
#include <stdexcept>

#include <fmt/format.h>

#include "table/codec.h"

namespace quartzhoist::waves {

namespace {

using table::Box;
using table::BoxState;

void Require(const Box& box, BoxState state, StepKind kind) {
  if (box.state != state)
    throw std::logic_error(fmt::format(
        "{} cannot {} while {}", box.name, base::NameOf(kStepKindNames, kind),
        base::NameOf(table::kBoxStateNames, box.state)));
}

table::Wave WaveOf(const table::Snapshot& snapshot, const std::string& pool) {
  const auto found = snapshot.waves().find(pool);
  return found == snapshot.waves().end() ? table::Wave{.pool = pool}
                                         : found->second;
}

}  // namespace

Box BoxAfter(const table::Snapshot& snapshot, const Step& step) {
  const Box* before = snapshot.FindBox(step.box);
  if (!before)
    throw std::logic_error("there is no box " + step.box);
  Box box = *before;
  switch (step.kind) {
    case StepKind::kDepart:
      Require(box, BoxState::kServing, step.kind);
      box.state = BoxState::kDraining;
      box.next_pool = step.next_pool;
      break;
    case StepKind::kEmpty:
      Require(box, BoxState::kDraining, step.kind);
      box.state = BoxState::kAway;
      break;
    case StepKind::kReturn: {
      Require(box, BoxState::kAway, step.kind);
      const table::PoolRow* pool = snapshot.FindPool(box.next_pool);
      box.state = BoxState::kServing;
      box.pool = box.next_pool;
      box.next_pool.clear();
      if (pool)
        box.maintained = std::max(box.maintained, pool->maintain);
      break;
    }
    case StepKind::kCancel:
      Require(box, BoxState::kDraining, step.kind);
      box.state = BoxState::kServing;
      box.next_pool.clear();
      break;
  }
  return box;
}

platform::Transaction ToTransaction(const table::Snapshot& snapshot,
                                    const PoolPlan& plan,
                                    const std::string& writer) {
  platform::Transaction transaction{
      .writer = writer, .conditions = {}, .writes = {}};
  std::map<std::string, table::Wave> waves;
  waves.emplace(plan.pool, WaveOf(snapshot, plan.pool));
  // 1. The boxes, each on the version that was planned with.
  for (const Step& step : plan.steps) {
    const Box box = BoxAfter(snapshot, step);
    const std::string key = table::BoxKey(step.box);
    transaction.conditions.push_back({key, box.epoch});
    transaction.writes.push_back({key, table::EncodeBox(box)});
    // 2. The wave row of the pool left, and of the pool gone to.
    std::vector<std::string>& away = waves.at(plan.pool).away;
    if (step.kind == StepKind::kDepart) {
      away.push_back(step.box);
      waves.try_emplace(step.next_pool, WaveOf(snapshot, step.next_pool));
    } else if (box.state == BoxState::kServing) {
      std::erase(away, step.box);
    }
  }
  for (const auto& [pool, wave] : waves) {
    const std::string key = table::WaveKey(pool);
    transaction.conditions.push_back({key, wave.epoch});
    transaction.writes.push_back({key, table::EncodeWave(wave)});
  }
  return transaction;
}

}  // namespace quartzhoist::waves
