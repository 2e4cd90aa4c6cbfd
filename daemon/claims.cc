#include "daemon/claims.h"

#include <algorithm>
#include <memory>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>
#include <nlohmann/json.hpp>

#include "base/event_log.h"

namespace quartzhoist::daemon {

namespace {

using nlohmann::json;
using platform::CommitOutcome;
using platform::Committed;
using platform::Conflict;
using platform::Failure;
using platform::Transaction;

constexpr base::Micros kRetryPace = std::chrono::seconds(2);
// Transactions in one call to the platform.
constexpr std::size_t kMaxBatch = 256;
constexpr std::size_t kMaxLater = 10'000;
// A longer answer is not kept: a repeat is told that the request ran.
constexpr std::size_t kMaxKeptAnswer = 65'536;
constexpr int kAnswerNotKept = 409;

std::string RowOf(const ClaimKey& key) {
  // The caller's key may hold anything; its hash makes a key for a row. The
  // fingerprint in the row shows a collision as a reused key.
  const XXH128_hash_t hash = XXH3_128bits(key.key.data(), key.key.size());
  return fmt::format("claim/{}/{:016x}{:016x}", key.service, hash.high64,
                     hash.low64);
}

std::string ClaimedValue(std::uint64_t fingerprint) {
  return json{{"fingerprint", fingerprint}}.dump();
}

std::string OutcomeValue(const KeepOutcome& outcome) {
  const bool keep = outcome.answer.body.size() <= kMaxKeptAnswer;
  json headers = json::array();
  for (const http::Header& header : outcome.answer.headers)
    headers.push_back({header.name, header.value});
  // Bodies are bytes, and JSON strings are not: an array of numbers.
  std::vector<std::uint8_t> bytes;
  if (keep)
    bytes.assign(outcome.answer.body.begin(), outcome.answer.body.end());
  return json{{"fingerprint", outcome.fingerprint},
              {"status", keep ? outcome.answer.status : kAnswerNotKept},
              {"headers", keep ? headers : json::array()},
              {"body", bytes}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

// A row that cannot be read is one whose outcome is not known.
ClaimTaken ReadClaim(const table::StoredRow& row) {
  ClaimTaken taken;
  const json value = json::parse(row.value, nullptr, false);
  if (!value.is_object() || !value.contains("fingerprint"))
    return taken;
  try {
    taken.fingerprint = value.at("fingerprint").get<std::uint64_t>();
    if (!value.contains("status"))
      return taken;
    taken.outcome.status = value.at("status").get<int>();
    for (const json& header : value.at("headers"))
      taken.outcome.headers.push_back(
          {.name = header.at(0).get<std::string>(),
           .value = header.at(1).get<std::string>()});
    const auto bytes = value.at("body").get<std::vector<std::uint8_t>>();
    taken.outcome.body.assign(bytes.begin(), bytes.end());
    taken.has_outcome = true;
  } catch (const json::exception&) {
    taken.has_outcome = false;
  }
  return taken;
}

}  // namespace

Claims::Claims(base::Loop& loop,
               platform::Client& client,
               base::Counters& counts,
               std::string prefix,
               std::function<void(ClaimDecided)> on_decided)
    : platform(client),
      counters(counts),
      writer_prefix(std::move(prefix)),
      decide(std::move(on_decided)),
      retry(loop, [this] {
        if (!this->platform.reachable())
          return;
        for (Pending& pending : std::exchange(this->later, {}))
          this->AddPending(std::move(pending));
      }) {
  this->retry.StartEvery(kRetryPace);
}

std::string Claims::NextWriter() {
  return fmt::format("{}/claim/{}", this->writer_prefix, ++this->last_writer);
}

void Claims::Want(const WantClaim& want) {
  Transaction transaction{
      .writer = this->NextWriter(),
      .conditions = {{RowOf(want.key), 0}},
      .writes = {{RowOf(want.key), ClaimedValue(want.key.fingerprint)}}};
  this->Add({.transaction = transaction,
             .done = [this, want, transaction](const CommitOutcome& outcome) {
               this->DecideWant(want, transaction, outcome);
             }});
}

void Claims::DecideWant(const WantClaim& want,
                        const Transaction& transaction,
                        const CommitOutcome& outcome) {
  const std::string& row = transaction.conditions.front().key;
  ClaimDecided decided{.call = want.call, .answer = ClaimUnavailable{}};
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    this->counters.Add(base::Counter::kClaims);
    decided.answer =
        ClaimGranted{.claim_row = row, .version = committed->version};
  } else if (const auto* conflict = std::get_if<Conflict>(&outcome)) {
    decided.answer = conflict->current.empty()
                         ? ClaimTaken{}
                         : ReadClaim(conflict->current.front());
  } else if (std::get<Failure>(outcome).verdict != base::Verdict::kNotRun) {
    base::Log(base::Event::kClaimUnsettled, {{"row", row}});
    this->FreeLater(transaction);
  }
  this->decide(std::move(decided));
}

// The claim may have been written, and its request was refused. Written again
// under the same writer it is committed now, or shows as committed before:
// either way its version is known then, and it can be freed.
void Claims::FreeLater(const Transaction& transaction) {
  const std::string row = transaction.conditions.front().key;
  if (this->later.size() >= kMaxLater)
    return;
  this->later.push_back(
      {.transaction = transaction,
       .committed = [this, row](const Committed& committed) {
         this->Release({.claim_row = row, .version = committed.version});
       }});
}

void Claims::Keep(const KeepOutcome& message) {
  this->AddPending(
      {.transaction = {.writer = this->NextWriter(),
                       .conditions = {{message.claim_row, message.version}},
                       .writes = {{message.claim_row, OutcomeValue(message)}}},
       .committed = {}});
}

void Claims::Release(const ReleaseClaim& message) {
  this->AddPending(
      {.transaction = {.writer = this->NextWriter(),
                       .conditions = {{message.claim_row, message.version}},
                       .writes = {{message.claim_row, ""}}},
       .committed = {}});
}

void Claims::AddPending(Pending pending) {
  const Transaction transaction = pending.transaction;
  this->Add({.transaction = transaction,
             .done = [this, pending = std::move(pending)](
                         const CommitOutcome& outcome) {
               const auto* committed = std::get_if<Committed>(&outcome);
               if (committed && pending.committed)
                 pending.committed(*committed);
               if (std::holds_alternative<Failure>(outcome) &&
                   this->later.size() < kMaxLater)
                 this->later.push_back(pending);
             }});
}

void Claims::Add(Job job) {
  this->queue.push_back(std::move(job));
  if (this->in_flight == 0)
    this->Flush();
}

void Claims::Flush() {
  if (this->queue.empty())
    return;
  // 1. What waited goes together, in one call.
  const std::size_t count = std::min(this->queue.size(), kMaxBatch);
  auto batch = std::make_shared<std::vector<Job>>();
  std::vector<Transaction> transactions;
  for (std::size_t i = 0; i < count; ++i) {
    transactions.push_back(this->queue[i].transaction);
    batch->push_back(std::move(this->queue[i]));
  }
  this->queue.erase(this->queue.begin(),
                    this->queue.begin() + static_cast<std::ptrdiff_t>(count));
  this->in_flight = count;
  // 2. Each gets its own outcome; then whatever came meanwhile goes.
  this->platform.Commit(
      std::move(transactions),
      [this, batch](const std::vector<CommitOutcome>& outcomes) {
        this->in_flight = 0;
        for (std::size_t i = 0; i < batch->size(); ++i)
          (*batch)[i].done(outcomes[i]);
        if (this->in_flight == 0)
          this->Flush();
      });
}

}  // namespace quartzhoist::daemon
