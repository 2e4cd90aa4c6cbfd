#include "daemon/editor.h"

#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "table/codec.h"

namespace quartzhoist::daemon {

namespace {

using platform::Committed;
using platform::Conflict;
using platform::Failure;
using platform::Transaction;

// An edit that keeps losing to edits of other rows is tried this often.
constexpr int kMaxTries = 8;

// Writes the changed rows and the head; each must be as the snapshot has it.
Transaction ToTransaction(const table::Snapshot& snapshot,
                          const table::Edited& edited,
                          const std::string& writer) {
  Transaction transaction{.writer = writer, .conditions = {}, .writes = {}};
  const auto add = [&](const std::string& key, const std::string& value) {
    transaction.conditions.push_back({key, snapshot.VersionOf(key)});
    transaction.writes.push_back({key, value});
  };
  for (const std::string& id : edited.changed) {
    const auto row = edited.rows.find(id);
    add(table::RowKey(id), row == edited.rows.end()
                               ? std::string()
                               : table::EncodeRow(row->second));
  }
  add(std::string(table::kHeadKey), "{}");
  return transaction;
}

}  // namespace

struct Editor::Work {
  table::Edit edit;
  std::function<void(EditResult)> done;
  int tries = 0;
};

Editor::Editor(platform::Client& client,
               Follower& follows,
               base::Counters& counts,
               std::string prefix)
    : platform(client),
      follower(follows),
      counters(counts),
      writer_prefix(std::move(prefix)) {}

void Editor::Submit(table::Edit edit, std::function<void(EditResult)> done) {
  auto work = std::make_shared<Work>();
  work->edit = std::move(edit);
  work->done = std::move(done);
  this->Try(work);
}

void Editor::Try(const std::shared_ptr<Work>& work) {
  ++work->tries;
  const table::SnapshotPtr snapshot = this->follower.current();
  const table::EditOutcome outcome = table::ApplyEdit(*snapshot, work->edit);
  if (const auto* faults = std::get_if<std::vector<table::Fault>>(&outcome)) {
    work->done(*faults);
    return;
  }
  if (const auto* conflict = std::get_if<table::EditConflict>(&outcome)) {
    base::Log(base::Event::kEditConflict, {{"row", conflict->row}});
    work->done(*conflict);
    return;
  }
  const auto& edited = std::get<table::Edited>(outcome);
  if (edited.changed.empty()) {
    work->done(EditAccepted{.version = snapshot->revision(), .changed = {}});
    return;
  }
  const std::string writer =
      fmt::format("{}/edit/{}", this->writer_prefix, ++this->last_writer);
  this->platform.Commit(
      {ToTransaction(*snapshot, edited, writer)},
      [this, work,
       edited](const std::vector<platform::CommitOutcome>& outcomes) {
        this->TakeOutcome(work, edited, outcomes.front());
      });
}

void Editor::TakeOutcome(const std::shared_ptr<Work>& work,
                         const table::Edited& edited,
                         const platform::CommitOutcome& outcome) {
  if (const auto* committed = std::get_if<Committed>(&outcome)) {
    this->counters.Add(base::Counter::kEditsAccepted);
    base::Log(base::Event::kEditAccepted,
              {{"version", committed->version},
               {"rows", fmt::format("{}", fmt::join(edited.changed, ","))}});
    const EditAccepted accepted{.version = committed->version,
                                .changed = edited.changed};
    // In force here before the operator hears of it.
    this->follower.Poll([work, accepted] { work->done(accepted); });
    return;
  }
  if (const auto* failure = std::get_if<Failure>(&outcome)) {
    if (failure->verdict != base::Verdict::kNotRun)
      base::Log(base::Event::kEditUnsettled, {{"problem", failure->error}});
    work->done(*failure);
    return;
  }
  // A row or the head was written meanwhile: decide again on what is there.
  if (work->tries >= kMaxTries) {
    work->done(Failure{.verdict = base::Verdict::kNotRun,
                       .error = "too many edits at once; try again"});
    return;
  }
  this->follower.Poll([this, work] { this->Try(work); });
}

}  // namespace quartzhoist::daemon
