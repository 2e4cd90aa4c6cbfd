// Learns in how many shards the fleet is scheduled. The count stands in a row
// of the store; the first daemon that finds none counts the workers and writes
// it, once and for all.

#ifndef ENTRY_SHARD_PLAN_H_
#define ENTRY_SHARD_PLAN_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>

#include "base/loop.h"
#include "platform/store.h"
#include "platform/table_reader.h"

namespace quartzhoist::entry {

class ShardPlan {
 public:
  // `cores`: of the daemon's box; a stronger one counts sooner. `on_known` is
  // called once.
  ShardPlan(base::Loop& loop,
            platform::Store& store,
            double cores,
            std::size_t workers_an_owner,
            std::uint64_t seed,
            std::function<void(int count)> on_known);
  ~ShardPlan();
  ShardPlan(const ShardPlan&) = delete;
  ShardPlan& operator=(const ShardPlan&) = delete;

 private:
  void Read();
  void TakeRow(const std::optional<platform::TableContent>& content);
  void CountWorkers();
  void TakeWorkers(std::size_t workers);
  void Write(int count);
  void Known(int count);

  platform::Store& store;
  std::size_t workers_an_owner;
  std::function<void(int count)> on_known;
  base::Micros wait{};  // until this daemon settles the count
  std::optional<base::Micros> missing_since;
  std::optional<std::size_t> counted;  // workers, when last counted
  bool is_known = false;
  base::Timer timer;
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARD_PLAN_H_
