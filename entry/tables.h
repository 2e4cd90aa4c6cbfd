// The daemons' own tables in the platform's store: table names, row keys and
// row encodings. docs/PLATFORM.md lists the condition of each write.

#ifndef ENTRY_TABLES_H_
#define ENTRY_TABLES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/shard_selector.h"
#include "entry/shards.h"
#include "jobs/queue.h"
#include "platform/store.h"
#include "scheduler/actions.h"
#include "scheduler/facts.h"

namespace quartzhoist::entry {

// Number of shards of the fleet; written once.
inline constexpr std::string_view kShardCountTable = "shards";
inline constexpr std::string_view kShardCountKey = "count";
// Accepted jobs and their cancellation requests; rows are immutable. Each shard
// has its own table, because a feed always covers a whole table.
inline constexpr std::string_view kJobTable = "jobs";
// One row per job, which the owner rewrites conditionally on the row's version.
// Its location depends on the job id alone, so that a resubmitted job is found
// whichever shard has it.
inline constexpr std::string_view kProgressTable = "progress";
// Ids of which a cancellation was acknowledged before any job was stored under
// them, so that a submission that is still on its way does not run. In a table
// of its own: no takeover reads it.
inline constexpr std::string_view kCancelledTable = "cancelled";
// The owner of each shard and its epoch.
inline constexpr std::string_view kOwnerTable = "owner";
inline constexpr std::string_view kOwnerKey = "scheduler";
// Workers that may hold a lease. A worker is written here before its first
// lease is granted.
inline constexpr std::string_view kLeaseTable = "leases";
inline constexpr std::string_view kLeaseKey = "workers";
// Number of waiting jobs of each queue: one row per shard. All rows are in one
// partition (RowKey::part), because a caller's request reads them together.
inline constexpr std::string_view kQueueLengthTable = "counts";
// For each wave, the boxes whose maintenance has begun and the shards that are
// done.
inline constexpr std::string_view kWaveTable = "waves";
// Move and maintenance calls for boxes, recorded by the shard's owner before
// each call is sent.
inline constexpr std::string_view kBoxCallTable = "boxes";
inline constexpr std::string_view kBoxCallKey = "calls";
// Shares of the organisations' quotas by shard: one row for each organisation
// whose quota is not split equally, and one for each shard, which its owner
// writes at takeover. All rows are in one partition, because a write has
// conditions on rows of both kinds.
inline constexpr std::string_view kQuotaTable = "quotas";

// Key of a row in the shard's partition of `table`. Each shard has its own
// partition, because the store executes the calls to one partition one after
// the other.
platform::RowKey ShardRowKey(std::string_view table,
                             std::string_view key,
                             const Shard& shard);
// The partition of `table` that holds the shard's rows.
std::string ShardPart(std::string_view table, const Shard& shard);
// The partitions of all shards.
std::vector<std::string> ShardParts(std::string_view table, int shards);
platform::RowKey OwnerRow(const Shard& shard);
platform::RowKey ShardCountRow();
// Rewritten by each daemon that is about to count the workers. In a part of its
// own: the part of the count holds nothing else.
platform::RowKey ShardCountClaimRow();
platform::RowKey QueueLengthRow(const Shard& shard);
platform::RowKey OrganisationQuotaRow(const std::string& organisation);
// Each new owner of the shard writes this row, so that writes of an earlier
// owner that are still in flight fail their condition.
platform::RowKey QuotaOwnerRow(const Shard& shard);
// The organisation of a row of kQuotaTable; empty for an owner's row.
std::optional<std::string> ParseQuotaKey(std::string_view key);

// The partitions over which jobs are distributed; the store executes the writes
// of one partition one after the other.
const std::vector<std::string>& JobParts();
std::string JobTable(const Shard& shard);
platform::RowKey JobRow(const std::string& job, const Shard& shard);
platform::RowKey CancelRow(const std::string& job, const Shard& shard);
platform::RowKey ProgressRow(const std::string& job);
// In the part of the progress row. Each organisation has rows of its own, so
// that none can keep another from an id.
platform::RowKey CancelledIdRow(const std::string& job,
                                const std::string& organisation);
// Key of a row of kJobTable: the job, or the cancellation request for it.
struct JobKey {
  std::string job;
  bool is_cancel = false;
};
JobKey ParseJobKey(std::string_view key);

// A job as accepted: the request body, and the queue's configuration at that
// time.
struct AcceptedJob {
  jobs::Queue queue;
  std::int64_t accepted_ms = 0;  // Unix time
  std::string organisation;      // owner of the access key; empty without a key
  std::string body;
};
std::string EncodeAccepted(const AcceptedJob& job);
// Empty if the text is malformed.
std::optional<AcceptedJob> DecodeAccepted(std::string_view text);

// Row of kProgressTable: a job's progress and the number of its shard.
struct ProgressRecord {
  int shard = 0;
  std::string_view text;  // encoded by jobs::EncodeProgress
};
// Bytes of encoded progress that a row holds whose value, as it is sent, has at
// most `row_bytes`.
std::size_t MaxProgressBytes(std::size_t row_bytes);
std::string EncodeProgressRecord(const ProgressRecord& record);
// The result refers to `row`, which must outlive it; empty if `row` is
// malformed.
std::optional<ProgressRecord> DecodeProgressRecord(std::string_view row);
std::optional<ProgressRecord> DecodeProgressRecord(std::string&& row) = delete;

struct OwnerRecord {
  std::string holder;       // id of the daemon; empty if released
  std::string incarnation;  // of the holder's process
  std::uint64_t epoch = 0;  // increases with each holder
  std::uint64_t beat = 0;   // increases with each confirmation (heartbeat)
  double cores = 0.0;       // of the holder's box; 0 if unknown
  // A daemon on a much stronger box, in whose favour the holder is to release
  // the shard.
  std::string successor;
  ShardLoad load;  // at the time of this heartbeat
  // When this heartbeat was first sent, on the store's clock; 0 if unknown.
  std::int64_t renewed_store_ms = 0;
};
std::string EncodeOwner(const OwnerRecord& record);
std::optional<OwnerRecord> DecodeOwner(std::string_view text);

// Workers that may hold a lease from the owner of this epoch or of an earlier
// one. Workers with `held` set get leases from this owner. The others were
// inherited from an earlier owner and have not reported to this one; their
// leases end by expires_store_ms.
struct LeaseHolder {
  scheduler::WorkerInfo worker;  // only life, address, box and service
  bool held = true;
  // Bound on the store's clock; 0 if unknown. At a worker that is held, leases
  // that were granted after the record was written may end later.
  std::int64_t expires_store_ms = 0;
};
struct LeaseRecord {
  std::uint64_t epoch = 0;
  // Id of the daemon that wrote it; empty in rows of earlier versions.
  std::string writer;
  // Where it answers monitoring requests; empty if it does not.
  std::string writer_address;
  std::vector<LeaseHolder> workers;
};
std::string EncodeLeases(const LeaseRecord& record);
std::optional<LeaseRecord> DecodeLeases(std::string_view text);

// Calls for boxes that were recorded by the owner of this epoch or of an
// earlier one and whose outcome is still unknown.
struct BoxCallRecord {
  std::uint64_t epoch = 0;
  std::vector<scheduler::BoxCall> calls;
};
std::string EncodeBoxCalls(const BoxCallRecord& record);
std::optional<BoxCallRecord> DecodeBoxCalls(std::string_view text);

std::string EncodeShardCount(int count);
// Empty unless the text is a power of two up to kMaxShards.
std::optional<int> DecodeShardCount(std::string_view text);

std::string EncodeNames(const std::vector<std::string>& names);
// Skips entries that are not strings; empty if the text is not a list.
std::vector<std::string> DecodeNames(std::string_view text);

// `counts`: number of waiting jobs by queue. Only queues that have any are
// written.
std::string EncodeQueueLengths(const std::map<std::string, int>& counts);
// 0 if the text does not name the queue or is malformed.
std::int64_t QueueLengthOf(std::string_view text, const std::string& queue);

}  // namespace quartzhoist::entry

#endif  // ENTRY_TABLES_H_
