#include "waves/planner.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <tuple>
#include <utility>

namespace quartzhoist::waves {

namespace {

using table::Box;
using table::BoxState;
using table::PoolRow;
using table::Reserve;

// Failures that began this recently count as one burst.
constexpr double kBurstSeconds = 300;
// A burst is two boxes, or a tenth of a larger pool.
constexpr std::int64_t kBurstBoxes = 2;
constexpr std::int64_t kBurstPercent = 10;
// A box that the platform has lost for longer than any request may last has
// nothing in flight, whoever has not said so.
constexpr double kDeadSeconds = 120;

struct Deficit {
  const PoolRow* row;
  std::int64_t boxes;
};

using Deficits = std::vector<Deficit>;

// Pools that want boxes, the first in order first.
Deficits FindDeficits(const Fleet& fleet) {
  Deficits deficits;
  for (const auto& [id, row] : fleet.snapshot().rows()) {
    const auto* pool = std::get_if<PoolRow>(&row);
    if (!pool)
      continue;
    const std::int64_t lacking = pool->boxes - fleet.Committed(pool->name);
    if (lacking > 0)
      deficits.push_back({.row = pool, .boxes = lacking});
  }
  std::stable_sort(deficits.begin(), deficits.end(),
                   [](const Deficit& a, const Deficit& b) {
                     return a.row->order < b.row->order;
                   });
  return deficits;
}

// Boxes of the largest failure domain among those serving.
std::int64_t LargestDomain(const std::vector<BoxView>& serving,
                           Reserve reserve) {
  if (reserve == Reserve::kNone)
    return 0;
  std::map<std::string_view, std::int64_t> count;
  std::int64_t largest = 0;
  for (const BoxView& view : serving) {
    const std::string& domain =
        reserve == Reserve::kRack ? view.box->rack : view.box->zone;
    largest = std::max(largest, ++count[domain]);
  }
  return largest;
}

// One pool's plan in the making.
class PoolPlanner {
 public:
  PoolPlanner(const Fleet& of, const PoolRow& pool_row, Deficits& wanted)
      : fleet(of), row(pool_row), deficits(wanted) {}

  PoolPlan Run() {
    this->plan.pool = this->row.name;
    this->SortBoxes();
    this->FinishTrips();
    this->FindCandidates();
    this->Depart();
    return std::move(this->plan);
  }

 private:
  // Smaller goes first.
  using Rank = std::tuple<bool, std::int64_t>;

  struct Candidate {
    const Box* box;
    Rank rank;
    std::string next_pool = {};
  };

  // 1. What state each box is in.
  void SortBoxes() {
    for (const BoxView& view : this->fleet.BoxesOf(this->row.name)) {
      const bool is_serving = view.box->state == BoxState::kServing;
      if (is_serving && view.facts->live) {
        this->serving.push_back(view);
        continue;
      }
      ++this->racks_away[view.box->rack];
      if (!is_serving)
        this->on_way.push_back(view);
      else if (view.facts->gone_for < kBurstSeconds)
        ++this->recent_failures;
    }
    this->plan.serving = static_cast<std::int64_t>(this->serving.size());
    this->plan.on_way = static_cast<std::int64_t>(this->on_way.size());
    this->may_be_away = this->fleet.MayBeAway(this->row.name);
    this->plan.need = this->row.boxes - this->may_be_away;
  }

  // 2. Boxes on their way go on; what ends a trip needs no allowance.
  void FinishTrips() {
    for (const auto& [box, facts] : this->on_way) {
      const bool dead = !facts->live && facts->gone_for > kDeadSeconds;
      const bool drained = facts->drained_epoch >= box->epoch || dead;
      const bool ready = facts->ready_epoch >= box->epoch && facts->live;
      if (box->state == BoxState::kDraining && drained)
        this->plan.steps.push_back({StepKind::kEmpty, box->name, ""});
      if (box->state == BoxState::kAway && ready)
        this->plan.steps.push_back({StepKind::kReturn, box->name, ""});
    }
  }

  // 3. Who has to go: surplus boxes to pools that want them, then boxes due
  //    for maintenance. A surplus box that is also due makes one trip of two.
  void FindCandidates() {
    std::vector<Candidate> order;
    for (const BoxView& view : this->serving)
      order.push_back({.box = view.box, .rank = this->RankOf(*view.box)});
    std::stable_sort(
        order.begin(), order.end(),
        [](const Candidate& a, const Candidate& b) { return a.rank < b.rank; });
    std::int64_t surplus =
        this->fleet.Committed(this->row.name) - this->row.boxes;
    for (Candidate& candidate : order) {
      candidate.next_pool = surplus > 0 ? this->FirstDeficit() : "";
      if (!candidate.next_pool.empty())
        --surplus;
      else if (candidate.box->maintained < this->row.maintain)
        candidate.next_pool = this->row.name;
      if (!candidate.next_pool.empty())
        this->candidates.push_back(candidate);
    }
    this->plan.waiting = static_cast<std::int64_t>(this->candidates.size());
  }

  // Boxes due first; then from racks that have boxes away already, so that the
  // loss of a rack takes fewer of those that still serve.
  Rank RankOf(const Box& box) const {
    const auto found = this->racks_away.find(box.rack);
    const std::int64_t away =
        found == this->racks_away.end() ? 0 : found->second;
    return {box.maintained >= this->row.maintain, -away};
  }

  // Takes one box off the first deficit that is left.
  std::string FirstDeficit() {
    for (Deficit& deficit : this->deficits) {
      if (deficit.boxes == 0 || deficit.row->name == this->row.name)
        continue;
      --deficit.boxes;
      return deficit.row->name;
    }
    return "";
  }

  // 4. How many may go now.
  std::int64_t Allowance() {
    const std::int64_t in_flight =
        static_cast<std::int64_t>(this->on_way.size());
    const std::int64_t burst =
        std::max(kBurstBoxes, this->row.boxes * kBurstPercent / 100);
    if (this->recent_failures >= burst) {
      this->plan.hold = Hold::kFailureBurst;
      return 0;
    }
    const std::int64_t spare =
        this->plan.serving - this->plan.need - this->SpareKept();
    const std::int64_t room = std::min(this->row.wave - in_flight, spare);
    if (room <= 0 && !this->candidates.empty())
      this->plan.hold = Hold::kBudget;
    return std::max<std::int64_t>(room, 0);
  }

  // Spare boxes kept for the loss of a failure domain: less of it the faster
  // the row's pace, and never so much that nothing could ever move.
  std::int64_t SpareKept() const {
    const std::int64_t domain = LargestDomain(this->serving, this->row.reserve);
    const std::int64_t wanted = domain * (100 - this->row.pace) / 100;
    const std::int64_t most = std::max<std::int64_t>(this->may_be_away - 1, 0);
    return std::min(wanted, most);
  }

  // 5. Let them go.
  void Depart() {
    const std::int64_t allowance = this->Allowance();
    for (const Candidate& candidate : this->candidates) {
      if (this->departed == allowance)
        return;
      ++this->departed;
      this->plan.steps.push_back(
          {StepKind::kDepart, candidate.box->name, candidate.next_pool});
    }
  }

  const Fleet& fleet;
  const PoolRow& row;
  Deficits& deficits;
  PoolPlan plan;
  std::vector<BoxView> serving;
  std::vector<BoxView> on_way;
  std::vector<Candidate> candidates;
  std::map<std::string_view, std::int64_t> racks_away;
  std::int64_t recent_failures = 0;
  std::int64_t may_be_away = 0;
  std::int64_t departed = 0;
};

}  // namespace

Fleet::Fleet(table::SnapshotPtr snapshot, const Facts& facts)
    : current(std::move(snapshot)) {
  static const BoxFacts kUnlisted;
  for (const auto& [name, box] : this->current->boxes()) {
    const auto found = facts.find(name);
    const BoxFacts* of_box = found == facts.end() ? &kUnlisted : &found->second;
    this->pools[box.pool].boxes.push_back({.box = &box, .facts = of_box});
    const bool leaves = box.state != BoxState::kServing;
    ++this->pools[leaves ? box.next_pool : box.pool].committed;
  }
  for (const auto& [id, row] : this->current->rows()) {
    const auto* service = std::get_if<table::ServiceRow>(&row);
    if (!service)
      continue;
    std::int64_t& percent = this->pools[service->pool].away_percent;
    percent = std::min(percent, service->away);
  }
}

const Fleet::PoolView* Fleet::Find(const std::string& pool) const {
  const auto found = this->pools.find(pool);
  return found == this->pools.end() ? nullptr : &found->second;
}

const std::vector<BoxView>& Fleet::BoxesOf(const std::string& pool) const {
  static const std::vector<BoxView> kNoBoxes;
  const PoolView* view = this->Find(pool);
  return view ? view->boxes : kNoBoxes;
}

std::int64_t Fleet::Committed(const std::string& pool) const {
  const PoolView* view = this->Find(pool);
  return view ? view->committed : 0;
}

std::int64_t Fleet::MayBeAway(const std::string& pool) const {
  const PoolRow* row = this->current->FindPool(pool);
  const PoolView* view = this->Find(pool);
  const std::int64_t percent = view ? view->away_percent : 100;
  return row ? row->boxes * percent / 100 : 0;
}

PoolPlan PlanPool(const Fleet& fleet, const std::string& pool) {
  const PoolRow* row = fleet.snapshot().FindPool(pool);
  if (!row)
    return {.pool = pool};
  Deficits deficits = FindDeficits(fleet);
  return PoolPlanner(fleet, *row, deficits).Run();
}

std::vector<PoolPlan> PlanAll(const Fleet& fleet) {
  Deficits deficits = FindDeficits(fleet);
  std::vector<const PoolRow*> pools;
  for (const auto& [id, row] : fleet.snapshot().rows()) {
    if (const auto* pool = std::get_if<PoolRow>(&row))
      pools.push_back(pool);
  }
  std::stable_sort(
      pools.begin(), pools.end(),
      [](const PoolRow* a, const PoolRow* b) { return a->order < b->order; });
  std::vector<PoolPlan> plans;
  for (const PoolRow* pool : pools)
    plans.push_back(PoolPlanner(fleet, *pool, deficits).Run());
  return plans;
}

}  // namespace quartzhoist::waves
