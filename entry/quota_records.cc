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

// Needs change with each task; shares follow them at this pace. A transfer
// takes two writes, of the one that asks and of the one that gives.
constexpr base::Micros kActPeriod = milliseconds(50);
// Shards step at different paces, or many of them would write one row at the
// same moments, of which one is made.
constexpr base::Micros kActSpread = milliseconds(15);  // a shard
constexpr base::Micros kClaimAgain = milliseconds(200);

}  // namespace

QuotaRecords::QuotaRecords(base::Loop& on,
                           platform::Store& in,
                           const Shard& of,
                           std::uint64_t own_epoch,
                           OnShare tell)
    : loop(on),
      store(in),
      shard(of),
      epoch(own_epoch),
      on_share(std::move(tell)),
      shares(of),
      alive(std::make_shared<bool>(true)) {
  this->known = of.count == 1;
}

QuotaRecords::~QuotaRecords() {
  *this->alive = false;
}

void QuotaRecords::Act(const std::map<std::string, scheduler::QuotaNeed>& needs,
                       bool knows_all,
                       base::Micros now) {
  this->next_act = now + kActPeriod + kActSpread * this->shard.number;
  // Where nobody has a quota nothing is written or read.
  if (needs.empty())
    return;
  if (!this->known) {
    if (this->claimed_at == 0 && !this->claiming && now >= this->next_claim)
      this->Claim();
    return;
  }
  for (const QuotaShares::Write& write : this->shares.Decide(needs, knows_all))
    this->Write(write);
  this->TellShares(needs);
}

// From here on an earlier owner's writes that are on their way are refused; the
// rows are read after that.
void QuotaRecords::Claim() {
  this->claiming = true;
  const platform::WriteBatch write{
      .conditions = {},
      .puts = {{.at = QuotaOwnerRow(this->shard),
                .value = std::to_string(this->epoch)}},
      .removes = {}};
  this->store.Write(
      write, [this, lives = this->alive](const platform::WriteResult& result) {
        if (!*lives)
          return;
        this->claiming = false;
        this->next_claim = base::MonotonicNow() + kClaimAgain;
        if (result.outcome != platform::WriteOutcome::kDone)
          return;
        this->claimed_at = result.version;
        this->Follow();
      });
}

void QuotaRecords::Follow() {
  this->follower = std::make_unique<platform::TableFollower>(
      this->loop, this->store, std::string(kQuotaTable),
      std::vector<std::string>{QuotaOwnerRow(this->shard).part},
      platform::TableFollower::Events{
          .on_all =
              [this](const std::vector<platform::Row>& rows) {
                for (const platform::Row& row : rows)
                  this->TakeRow(row);
                this->known = true;
              },
          .on_changes =
              [this](const std::vector<platform::ChangedRow>& rows) {
                for (const platform::ChangedRow& changed : rows) {
                  if (!changed.removed)
                    this->TakeRow(changed.row);
                }
              },
          .on_contact = [](base::Micros) {},
          .on_lost = [] {}});
}

void QuotaRecords::TakeRow(const platform::Row& row) {
  // An own claim that was made twice.
  if (row.at.key == QuotaOwnerRow(this->shard).key &&
      row.value == std::to_string(this->epoch))
    this->claimed_at = std::max(this->claimed_at, row.version);
  const std::optional<std::string> organisation = ParseQuotaKey(row.at.key);
  if (!organisation)
    return;
  const auto shared = DecodeQuotaRow(row.value, this->shard.count);
  if (!shared)
    base::Log(base::Event::kRowMalformed, {{"row", row.at.key}});
  this->shares.Seen(*organisation, shared, row.version);
}

void QuotaRecords::Write(const QuotaShares::Write& wanted) {
  const platform::RowKey row = OrganisationQuotaRow(wanted.organisation);
  const platform::WriteBatch write{
      .conditions = {{.at = QuotaOwnerRow(this->shard),
                      .version = this->claimed_at},
                     {.at = row, .version = wanted.version}},
      .puts = {{.at = row, .value = EncodeQuotaRow(wanted.row)}},
      .removes = {}};
  const std::string& organisation = wanted.organisation;
  this->store.Write(write, [this, organisation, lives = this->alive](
                               const platform::WriteResult& result) {
    if (*lives)
      this->TakeWritten(organisation, result);
  });
}

void QuotaRecords::TakeWritten(const std::string& organisation,
                               const platform::WriteResult& result) {
  const bool is_done = result.outcome == platform::WriteOutcome::kDone;
  this->shares.Settled(organisation,
                       is_done ? std::optional(result.version) : std::nullopt);
  if (result.outcome != platform::WriteOutcome::kConflict)
    return;
  for (const platform::Row& row : result.rows)
    this->TakeRow(row);
}

void QuotaRecords::TellShares(
    const std::map<std::string, scheduler::QuotaNeed>& needs) {
  for (const auto& [organisation, need] : needs) {
    const int share = this->shares.ShareOf(organisation);
    const auto [entry, is_new] = this->told.try_emplace(organisation, share);
    if (!is_new && entry->second == share)
      continue;
    entry->second = share;
    if (!is_new)
      base::Log(base::Event::kQuotaShared, {{"organisation", organisation},
                                            {"shard", this->shard.number},
                                            {"share", share},
                                            {"used", need.used},
                                            {"wanted", need.wanted}});
    this->on_share(organisation, share);
  }
}

}  // namespace quartzhoist::entry
