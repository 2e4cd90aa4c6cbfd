#include "waves/forecast.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "table/codec.h"
#include "waves/planner.h"
#include "waves/steps.h"

namespace quartzhoist::waves {

namespace {

constexpr int kMaxRounds = 100'000;
constexpr table::Version kAnyEpoch = std::numeric_limits<table::Version>::max();

// Every box drained and ready whenever it asks.
Facts Prompt(const table::Snapshot& snapshot, const Facts& known) {
  Facts facts = known;
  for (const auto& [name, box] : snapshot.boxes()) {
    BoxFacts& of_box = facts[name];
    of_box.ready_epoch = kAnyEpoch;
    of_box.drained_epoch = kAnyEpoch;
  }
  return facts;
}

void CountStep(const Step& step, PoolForecast& pool, const std::string& name) {
  if (step.kind != StepKind::kDepart)
    return;
  if (step.next_pool == name)
    ++pool.maintained;
  else
    ++pool.moved;
}

}  // namespace

table::SnapshotPtr WithRows(const table::SnapshotPtr& snapshot,
                            const table::Rows& rows) {
  const table::Version next = snapshot->revision() + 1;
  table::Delta delta{.after = snapshot->revision(), .upto = next, .rows = {}};
  for (const auto& [id, row] : snapshot->rows()) {
    if (!rows.contains(id))
      delta.rows.push_back({table::RowKey(id), next, "", ""});
  }
  for (const auto& [id, row] : rows)
    delta.rows.push_back({table::RowKey(id), next, "", table::EncodeRow(row)});
  return table::Snapshot::Apply(snapshot, delta).snapshot;
}

Forecast MakeForecast(table::SnapshotPtr snapshot, const Facts& known) {
  Forecast forecast;
  const Facts facts = Prompt(*snapshot, known);
  for (int round = 0; round < kMaxRounds; ++round) {
    const Fleet fleet(snapshot, facts);
    const table::Version next = snapshot->revision() + 1;
    table::Delta delta{.after = snapshot->revision(), .upto = next, .rows = {}};
    for (const PoolPlan& plan : PlanAll(fleet)) {
      const bool is_new = !forecast.contains(plan.pool);
      PoolForecast& pool = forecast[plan.pool];
      pool.need = plan.need;
      pool.stuck = plan.waiting;
      pool.lowest = is_new ? plan.serving : std::min(pool.lowest, plan.serving);
      bool departs = false;
      for (const Step& step : plan.steps) {
        CountStep(step, pool, plan.pool);
        departs = departs || step.kind == StepKind::kDepart;
        delta.rows.push_back({table::BoxKey(step.box), next, "",
                              table::EncodeBox(BoxAfter(*snapshot, step))});
      }
      pool.waves += departs ? 1 : 0;
    }
    if (delta.rows.empty())
      break;
    snapshot = table::Snapshot::Apply(snapshot, delta).snapshot;
  }
  return forecast;
}

}  // namespace quartzhoist::waves
