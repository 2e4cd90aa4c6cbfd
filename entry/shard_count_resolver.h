// Learns in how many shards the fleet is scheduled. The count stands in a row
// of the store; the first daemon that finds none counts the workers and writes
// it, once and for all.

#ifndef ENTRY_SHARD_COUNT_RESOLVER_H_
#define ENTRY_SHARD_COUNT_RESOLVER_H_

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

class ShardCountResolver {
 public:
  // `cores`: of the daemon's box; a stronger one counts sooner. `on_resolved`
  // is called once.
  ShardCountResolver(base::Loop& loop,
                     platform::Store& store,
                     double cores,
                     std::size_t workers_per_owner,
                     std::uint64_t seed,
                     std::function<void(int count)> on_resolved);
  ~ShardCountResolver();
  ShardCountResolver(const ShardCountResolver&) = delete;
  ShardCountResolver& operator=(const ShardCountResolver&) = delete;

 private:
  void ReadCountRow();
  void OnCountRow(const std::optional<platform::TableContent>& content);
  void CountWorkers();
  void OnWorkerCount(std::size_t workers);
  void WriteCount(int count);
  void Resolve(int count);

  platform::Store& store;
  std::size_t workers_per_owner;
  std::function<void(int count)> on_resolved;
  base::Micros count_delay{};  // until this daemon settles the count
  std::optional<base::Micros> missing_since;
  std::optional<std::size_t> last_count;  // workers, when last counted
  bool is_resolved = false;
  base::Timer timer;
  // Calls still on their way when this is destroyed find it unset.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARD_COUNT_RESOLVER_H_
