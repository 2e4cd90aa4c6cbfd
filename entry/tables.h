// The product's own tables in the platform's store: names, keys and forms of
// the rows. docs/PLATFORM.md says which write carries which condition.

#ifndef ENTRY_TABLES_H_
#define ENTRY_TABLES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "entry/shard_choice.h"
#include "entry/shards.h"
#include "jobs/queue.h"
#include "platform/store.h"
#include "scheduler/actions.h"
#include "scheduler/facts.h"

namespace quartzhoist::entry {

// In how many shards the fleet is scheduled; written once.
inline constexpr std::string_view kShardCountTable = "shards";
inline constexpr std::string_view kShardCountKey = "count";
// Accepted jobs, never rewritten, and beside them their cancels. Each shard
// has a table of its own, since a feed brings a whole table.
inline constexpr std::string_view kJobTable = "jobs";
// One row a job, rewritten by the owner under the row's version. It lies where
// its id says, so that a job handed in again is found whichever shard has it.
inline constexpr std::string_view kProgressTable = "progress";
// Who schedules each shard, under which epoch.
inline constexpr std::string_view kOwnerTable = "owner";
inline constexpr std::string_view kOwnerKey = "scheduler";
// Workers that may hold a lease, written before the first is granted.
inline constexpr std::string_view kLeaseTable = "leases";
inline constexpr std::string_view kLeaseKey = "workers";
// How many jobs of each queue wait: a row for each shard, in one part, since
// callers ask for them together.
inline constexpr std::string_view kQueueLengthTable = "counts";
// Boxes of each wave whose upkeep has begun, and the shards that are done.
inline constexpr std::string_view kWaveTable = "waves";

// What the shard's owner is about to ask of boxes: recorded before each call.
inline constexpr std::string_view kBoxCallTable = "boxes";
inline constexpr std::string_view kBoxCallKey = "calls";
// How the shards share each organisation's quota: a row for each that is not
// shared equally, and one for each shard that its owner writes when it takes
// over. All in one part, since a write has conditions on both.
inline constexpr std::string_view kQuotaTable = "quotas";

// A row of a small table of the daemons' own. Each shard's rows lie in a part
// of their own, since calls to one part are carried out in turn.
platform::RowKey ShardRowKey(std::string_view table,
                             std::string_view key,
                             const Shard& shard);
// The part of such a table that holds the shard's rows.
std::string ShardPart(std::string_view table, const Shard& shard);
// The parts of all shards.
std::vector<std::string> ShardParts(std::string_view table, int shards);
platform::RowKey OwnerRow(const Shard& shard);
platform::RowKey ShardCountRow();
platform::RowKey QueueLengthRow(const Shard& shard);
platform::RowKey OrganisationQuotaRow(const std::string& organisation);
// Written by each new owner of the shard: the writes of an earlier one that are
// still on their way do not fit any more.
platform::RowKey QuotaOwnerRow(const Shard& shard);
// The organisation of a row of kQuotaTable; nothing for an owner's row.
std::optional<std::string> ParseQuotaKey(std::string_view key);

// The parts that jobs are spread over: writes of one part are made in turn.
const std::vector<std::string>& JobParts();
std::string JobTable(const Shard& shard);
platform::RowKey JobRow(const std::string& job, const Shard& shard);
platform::RowKey CancelRow(const std::string& job, const Shard& shard);
platform::RowKey ProgressRow(const std::string& job);
// The job of a row of kJobTable, and whether the row is its cancel.
struct JobKey {
  std::string job;
  bool is_cancel = false;
};
JobKey ParseJobKey(std::string_view key);

// A job as it was accepted: what the caller sent, and the queue's terms then.
struct AcceptedJob {
  jobs::Queue queue;
  std::int64_t accepted_ms = 0;  // since 1970
  std::string organisation;      // whose key came with it; empty: none
  std::string body;
};
std::string EncodeAccepted(const AcceptedJob& job);
// Nothing if the text is not of this form.
std::optional<AcceptedJob> DecodeAccepted(std::string_view text);

// A job's progress as its row holds it, with the number of its shard.
struct ProgressRecord {
  int shard = 0;
  std::string_view text;  // see jobs::DecodeProgress
};
std::string EncodeProgressRecord(const ProgressRecord& record);
// Refers to `row`, which must outlive it; nothing if that is not of this form.
std::optional<ProgressRecord> DecodeProgressRecord(std::string_view row);
std::optional<ProgressRecord> DecodeProgressRecord(std::string&& row) = delete;

struct OwnerRecord {
  std::string holder;       // a daemon; empty: given up
  std::string incarnation;  // of its process
  std::uint64_t epoch = 0;  // rises with each holder
  std::uint64_t beat = 0;   // rises with each confirmation
  double cores = 0.0;       // of the holder's box; 0: not known
  // A daemon on a much stronger box, which the holder is to make way for.
  std::string successor;
  ShardLoad load;  // as of this beat
};
std::string EncodeOwner(const OwnerRecord& record);
std::optional<OwnerRecord> DecodeOwner(std::string_view text);

// Workers that may hold a lease from the owner of this epoch, or an earlier.
// One that the owner holds gets leases from it; one that it has only heard of
// from an earlier owner, and not listed, has none beyond that time.
struct LeaseHolder {
  scheduler::WorkerInfo worker;  // life, address, box and service
  bool held = true;
  std::int64_t expires_store_ms = 0;  // on the store's clock, if not held
};
struct LeaseRecord {
  std::uint64_t epoch = 0;
  std::vector<LeaseHolder> workers;
};
std::string EncodeLeases(const LeaseRecord& record);
std::optional<LeaseRecord> DecodeLeases(std::string_view text);

// Calls for boxes that the owner of this epoch, or an earlier one, has recorded
// and not seen settled.
struct BoxCallRecord {
  std::uint64_t epoch = 0;
  std::vector<scheduler::BoxCall> calls;
};
std::string EncodeBoxCalls(const BoxCallRecord& record);
std::optional<BoxCallRecord> DecodeBoxCalls(std::string_view text);

std::string EncodeShardCount(int count);
// Nothing if the text is no count that a fleet may be scheduled in.
std::optional<int> DecodeShardCount(std::string_view text);

std::string EncodeNames(const std::vector<std::string>& names);
std::vector<std::string> DecodeNames(std::string_view text);

// Waiting jobs by queue.
std::string EncodeQueueLengths(const std::map<std::string, int>& counts);
// 0 for a queue that the text does not name.
std::int64_t QueueLengthOf(std::string_view text, const std::string& queue);

}  // namespace quartzhoist::entry

#endif  // ENTRY_TABLES_H_
