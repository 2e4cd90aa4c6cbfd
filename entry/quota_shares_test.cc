// The shards together never exceed a quota, and quota that is idle in one shard
// becomes available to the others.

#include <algorithm>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <string>
#include <vector>

#include <rapidcheck.h>
#include <boost/test/unit_test.hpp>

#include "entry/quota_shares.h"

namespace quartzhoist::entry {
namespace {

constexpr const char* kOrganisation = "bees";

// Model of several owners that share one row. The quota is 1000 tasks, so that
// a share is a number of tasks. Reads are delayed; writes are lost, delayed or
// refused; owners are replaced while writes of the earlier one are in flight.
class QuotaModel {
 public:
  explicit QuotaModel(int shards) : count(shards) {
    for (int i = 0; i < shards; ++i) {
      this->owners.push_back({QuotaShares({.number = i, .count = shards})});
      this->demand.push_back(0);
      this->used.push_back(0);
    }
  }

  void SetDemand(int shard, int tasks) { this->demand[IndexOf(shard)] = tasks; }
  int Used(int shard) const { return this->used[IndexOf(shard)]; }
  int TotalUsed() const {
    return std::accumulate(this->used.begin(), this->used.end(), 0);
  }

  // The shard's owner reads the current row.
  void Read(int shard) {
    if (this->row)
      this->owners[IndexOf(shard)].shares.OnRowRead(kOrganisation, this->row,
                                                    this->version);
  }
  // Ends tasks beyond the demand and starts others within the share.
  void Run(int shard) {
    int& runs = this->used[IndexOf(shard)];
    runs = std::min(runs, this->demand[IndexOf(shard)]);
    const int share =
        this->owners[IndexOf(shard)].shares.ShareOf(kOrganisation);
    runs = std::max(runs, std::min(share, this->demand[IndexOf(shard)]));
  }
  void PlanWrites(int shard) {
    Owner& owner = this->owners[IndexOf(shard)];
    const scheduler::QuotaNeed need{.used = this->used[IndexOf(shard)],
                                    .wanted = this->demand[IndexOf(shard)]};
    for (QuotaShares::Write& write :
         owner.shares.PlanWrites({{kOrganisation, need}}, owner.usage_complete))
      this->in_flight.push_back({shard, owner.incarnation, std::move(write)});
  }
  enum class WriteResult { kAnswered, kUnanswered, kTimedOut, kLost };
  // Delivers, loses or times out one of the writes in flight.
  void Deliver(std::size_t which, WriteResult result) {
    if (this->in_flight.empty())
      return;
    const auto at = this->in_flight.begin() +
                    static_cast<std::ptrdiff_t>(which % this->in_flight.size());
    if (result == WriteResult::kTimedOut) {
      this->FinishWrite(*at, std::nullopt);
      at->timed_out = true;  // it may still arrive
      return;
    }
    const InFlightWrite sent = *at;
    this->in_flight.erase(at);
    if (result == WriteResult::kLost) {
      this->FinishWrite(sent, std::nullopt);
      return;
    }
    const bool applies =
        sent.write.version == this->version &&
        sent.incarnation == this->owners[IndexOf(sent.shard)].incarnation;
    if (applies) {
      this->row = sent.write.row;
      ++this->version;
    }
    if (result == WriteResult::kUnanswered)
      return;
    this->FinishWrite(sent,
                      applies ? std::optional(this->version) : std::nullopt);
    if (!applies && !sent.timed_out)
      this->Read(sent.shard);
  }
  // Replaces the shard's owner. The new one claims the shard's owner row, then
  // reads; it does not know all runs of the shard yet.
  void TakeOver(int shard) {
    Owner& owner = this->owners[IndexOf(shard)];
    const int incarnation = owner.incarnation + 1;
    owner = {QuotaShares({.number = shard, .count = this->count}), incarnation,
             false};
    this->Read(shard);
  }
  void CompleteUsage(int shard) {
    this->owners[IndexOf(shard)].usage_complete = true;
  }

  // Twelve rounds in which every read and write succeeds.
  void RunWithoutFaults() {
    for (int round = 0; round < 12; ++round) {
      for (int shard = 0; shard < this->count; ++shard) {
        this->CompleteUsage(shard);
        this->Read(shard);
        this->Run(shard);
        this->PlanWrites(shard);
        while (!this->in_flight.empty())
          this->Deliver(0, WriteResult::kAnswered);
      }
    }
  }

 private:
  struct Owner {
    QuotaShares shares;
    int incarnation = 0;
    bool usage_complete = true;
  };
  struct InFlightWrite {
    int shard = 0;
    int incarnation = 0;
    QuotaShares::Write write;
    bool timed_out = false;
  };

  static std::size_t IndexOf(int shard) {
    return static_cast<std::size_t>(shard);
  }
  void FinishWrite(const InFlightWrite& sent,
                   std::optional<std::uint64_t> written_version) {
    Owner& owner = this->owners[IndexOf(sent.shard)];
    if (owner.incarnation == sent.incarnation && !sent.timed_out)
      owner.shares.OnWriteFinished(kOrganisation, written_version);
  }

  int count;
  std::vector<Owner> owners;
  std::vector<int> demand;
  std::vector<int> used;
  std::optional<QuotaRow> row;
  std::uint64_t version = 0;
  std::deque<InFlightWrite> in_flight;
};

BOOST_AUTO_TEST_CASE(SharesAreNeverPassedInSum) {
  const bool holds = rc::check("all shards together stay within the quota", [] {
    const int shards = *rc::gen::element(2, 3, 4, 8);
    QuotaModel model(shards);
    const int steps = *rc::gen::inRange(20, 400);
    for (int i = 0; i < steps; ++i) {
      const int shard = *rc::gen::inRange(0, shards);
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
          model.SetDemand(shard, *rc::gen::inRange(0, 1500));
          break;
        case 1:
          model.TakeOver(shard);
          break;
        case 2:
          model.CompleteUsage(shard);
          break;
        case 3:
          model.Read(shard);
          break;
        case 4:
          model.Run(shard);
          break;
        case 5:
          model.PlanWrites(shard);
          break;
        default:
          model.Deliver(*rc::gen::inRange<std::size_t>(0, 9),
                        *rc::gen::element(QuotaModel::WriteResult::kAnswered,
                                          QuotaModel::WriteResult::kUnanswered,
                                          QuotaModel::WriteResult::kTimedOut,
                                          QuotaModel::WriteResult::kLost));
          break;
      }
      RC_ASSERT(model.TotalUsed() <= scheduler::kWholeQuota);
    }
  });
  BOOST_TEST(holds);
}

// After any history of delayed and timed-out writes, a shard with demand gets
// the quota that the other shards leave idle.
BOOST_AUTO_TEST_CASE(NobodyIsStarvedOfWhatLiesIdle) {
  const bool holds = rc::check("demand below the quota is served", [] {
    const int shards = *rc::gen::element(2, 4, 8);
    QuotaModel model(shards);
    const int steps = *rc::gen::inRange(0, 100);
    for (int i = 0; i < steps; ++i) {
      const int shard = *rc::gen::inRange(0, shards);
      model.SetDemand(shard, *rc::gen::inRange(0, 1200));
      model.Run(shard);
      model.PlanWrites(shard);
      model.Deliver(*rc::gen::inRange<std::size_t>(0, 9),
                    *rc::gen::element(QuotaModel::WriteResult::kAnswered,
                                      QuotaModel::WriteResult::kTimedOut));
    }
    for (int shard = 0; shard < shards; ++shard)
      model.SetDemand(shard, 0);
    const int busy = *rc::gen::inRange(0, shards);
    model.SetDemand(busy, 1000 - 20 * shards);
    model.RunWithoutFaults();
    RC_ASSERT(model.Used(busy) == 1000 - 20 * shards);
    // Demand returns in all shards: together they use the quota again.
    for (int shard = 0; shard < shards; ++shard)
      model.SetDemand(shard, 1000);
    model.SetDemand(busy, 0);
    model.RunWithoutFaults();
    model.SetDemand(busy, 1000);
    model.RunWithoutFaults();
    RC_ASSERT(model.TotalUsed() <= 1000);
    RC_ASSERT(model.TotalUsed() >= 1000 - 20 * shards);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(QuotaRowsRoundTripAndMalformedOnesAreRejected) {
  const QuotaRow row{.shares = {300, 700}, .wants = {0, 900}};
  BOOST_CHECK(DecodeQuotaRow(EncodeQuotaRow(row), 2) == row);
  for (const char* text :
       {"", "[]", "{}", R"({"shares":[1000],"wants":[0]})",
        R"({"shares":[600,600],"wants":[0,0]})",
        R"({"shares":[-1,5],"wants":[0,0]})",
        R"({"shares":[1,"5"],"wants":[0,0]})", R"({"shares":[1,5]})"}) {
    BOOST_TEST(!DecodeQuotaRow(text, 2).has_value(), text);
  }
}

// A malformed row counts as equal shares; if that raised a lowered share, the
// shards together could exceed the quota.
BOOST_AUTO_TEST_CASE(MalformedRowRaisesNoShare) {
  QuotaShares shares({.number = 0, .count = 2});
  shares.OnRowRead(kOrganisation,
                   QuotaRow{.shares = {200, 800}, .wants = {0, 0}}, 5);
  BOOST_TEST(shares.ShareOf(kOrganisation) == 200);
  shares.OnRowRead(kOrganisation, std::nullopt, 6);
  BOOST_TEST(shares.ShareOf(kOrganisation) == 200);
}

}  // namespace
}  // namespace quartzhoist::entry
