#include "entry/quota_records.h"

#include <algorithm>
#include <optional>
#include <utility>
#include <vector>

#include "base/event_log.h"
#include "entry/tables.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// Needs change with each task, shares only once per period. A transfer takes
// two writes: the request of one shard and the grant of another.
constexpr base::Micros kUpdatePeriod = milliseconds(50);
// Added to the period for each shard number. With equal periods many shards
// would write one row at the same time, and only one of the writes succeeds.
constexpr base::Micros kUpdateStagger = milliseconds(15);
constexpr base::Micros kClaimRetryDelay = milliseconds(200);

}  // namespace

QuotaRecords::QuotaRecords(base::Loop& loop,
                           platform::Store& store,
                           const Shard& shard,
                           std::uint64_t epoch,
                           OnShareChanged on_share_changed)
    : loop(loop),
      store(store),
      shard(shard),
      epoch(epoch),
      on_share_changed(std::move(on_share_changed)),
      shares(shard),
      alive(std::make_shared<bool>(true)) {
  this->rows_loaded = shard.count == 1;
}

QuotaRecords::~QuotaRecords() {
  *this->alive = false;
}

void QuotaRecords::Update(
    const std::map<std::string, scheduler::QuotaNeed>& needs,
    bool usage_complete,
    base::Micros now) {
  this->next_update = now + kUpdatePeriod + kUpdateStagger * this->shard.number;
  // Without quotas the store is neither read nor written.
  if (needs.empty())
    return;
  if (!this->rows_loaded) {
    if (this->claim_version == 0 && !this->claiming && now >= this->next_claim)
      this->ClaimOwnership();
    return;
  }
  for (const QuotaShares::Write& write :
       this->shares.PlanWrites(needs, usage_complete))
    this->Write(write);
  this->ReportShares(needs);
}

// Rewrites the shard's owner row. Writes of an earlier owner that are still in
// flight carry its old version as a condition and fail from then on; only after
// that are the rows read.
void QuotaRecords::ClaimOwnership() {
  this->claiming = true;
  const platform::WriteBatch write{
      .conditions = {},
      .puts = {{.at = QuotaOwnerRow(this->shard),
                .value = std::to_string(this->epoch)}},
      .removes = {}};
  this->store.Write(
      write, [this, alive = this->alive](const platform::WriteResult& result) {
        if (!*alive)
          return;
        this->claiming = false;
        this->next_claim = base::MonotonicNow() + kClaimRetryDelay;
        if (result.outcome != platform::WriteOutcome::kDone)
          return;
        this->claim_version = result.version;
        this->StartFollower();
      });
}

void QuotaRecords::StartFollower() {
  this->follower = std::make_unique<platform::TableFollower>(
      this->loop, this->store, std::string(kQuotaTable),
      std::vector<std::string>{QuotaOwnerRow(this->shard).part},
      platform::TableFollower::Events{
          .on_all =
              [this](const std::vector<platform::Row>& rows) {
                for (const platform::Row& row : rows)
                  this->ApplyRow(row);
                this->rows_loaded = true;
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& rows) {
                for (const platform::ChangedRow& changed : rows) {
                  if (!changed.removed)
                    this->ApplyRow(changed.row);
                }
              },
          .on_contact = [](std::optional<base::Micros>) {},
          .on_lost = [] {}});
}

void QuotaRecords::ApplyRow(const platform::Row& row) {
  // A claim of this owner that was applied more than once has a newer version.
  if (row.at.key == QuotaOwnerRow(this->shard).key &&
      row.value == std::to_string(this->epoch))
    this->claim_version = std::max(this->claim_version, row.version);
  const std::optional<std::string> organisation = ParseQuotaKey(row.at.key);
  if (!organisation)
    return;
  const auto shared = DecodeQuotaRow(row.value, this->shard.count);
  if (!shared)
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
  this->shares.OnRowRead(*organisation, shared, row.version);
}

void QuotaRecords::Write(const QuotaShares::Write& wanted) {
  const platform::RowKey row = OrganisationQuotaRow(wanted.organisation);
  const platform::WriteBatch write{
      .conditions = {{.at = QuotaOwnerRow(this->shard),
                      .version = this->claim_version},
                     {.at = row, .version = wanted.version}},
      .puts = {{.at = row, .value = EncodeQuotaRow(wanted.row)}},
      .removes = {}};
  const std::string& organisation = wanted.organisation;
  this->store.Write(write, [this, organisation, alive = this->alive](
                               const platform::WriteResult& result) {
    if (*alive)
      this->OnWriteResult(organisation, result);
  });
}

void QuotaRecords::OnWriteResult(const std::string& organisation,
                                 const platform::WriteResult& result) {
  const bool is_done = result.outcome == platform::WriteOutcome::kDone;
  this->shares.OnWriteFinished(
      organisation, is_done ? std::optional(result.version) : std::nullopt);
  if (result.outcome != platform::WriteOutcome::kConflict)
    return;
  for (const platform::Row& row : result.rows)
    this->ApplyRow(row);
}

void QuotaRecords::ReportShares(
    const std::map<std::string, scheduler::QuotaNeed>& needs) {
  for (const auto& [organisation, need] : needs) {
    const int share = this->shares.ShareOf(organisation);
    const auto [entry, is_new] =
        this->reported_shares.try_emplace(organisation, share);
    if (!is_new && entry->second == share)
      continue;
    entry->second = share;
    if (!is_new)
      base::Log(base::Event::kQuotaShared, {{"organisation", organisation},
                                            {"shard", this->shard.number},
                                            {"share", share},
                                            {"used", need.used},
                                            {"wanted", need.wanted}});
    this->on_share_changed(organisation, share);
  }
}

}  // namespace quartzhoist::entry
