// Determines the number of shards of the fleet. The count is kept in a row of
// the store. The first daemon that finds no row claims the count by another
// row, counts the workers and writes the result; it never changes afterwards.
// All other daemons wait for it: each of them reading all workers would cost
// bytes in proportion to daemons times workers.

#ifndef ENTRY_SHARD_COUNT_RESOLVER_H_
#define ENTRY_SHARD_COUNT_RESOLVER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "base/loop.h"
#include "platform/store.h"
#include "platform/table_reader.h"

namespace quartzhoist::entry {

class ShardCountResolver {
 public:
  // `cores` are those of the daemon's box; a stronger box counts the workers
  // sooner. `on_resolved` is called once.
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
  void ReadClaim();
  void OnClaim(const std::optional<platform::TableContent>& content);
  void WriteClaim();
  void CountWorkers();
  void OnWorkerCount(std::size_t workers);
  void WriteCount(int count);
  void Resolve(int count);

  platform::Store& store;
  std::size_t workers_per_owner;
  std::function<void(int count)> on_resolved;
  base::Micros count_delay{};  // before this daemon counts the workers
  std::optional<base::Micros> missing_since;
  std::optional<std::size_t> last_count;  // of workers
  std::string claim_text;                 // distinguishes this daemon's claim
  bool is_counter = false;                // this daemon's claim is written
  // Another daemon's claim, and since when it has been known.
  std::uint64_t claim_version = 0;
  base::Micros claim_seen{};
  bool is_resolved = false;
  base::Timer timer;
  // Set to false on destruction, for callbacks of calls still in flight.
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_SHARD_COUNT_RESOLVER_H_
