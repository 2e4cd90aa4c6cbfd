#include "daemon/follower.h"

#include <utility>

#include "base/event_log.h"

namespace quartzhoist::daemon {

namespace {

// A pull that got no answer is repeated after this.
constexpr base::Micros kPullPace = std::chrono::milliseconds(300);
// Datagrams in one answer to a pull: 32 KB, which a socket's default receive
// buffer holds; the puller asks for the rest when they are in.
constexpr std::size_t kPartsAPull = 24;

}  // namespace

Follower::Follower(platform::Client& client,
                   base::Counters& counts,
                   Hooks calls)
    : platform(client), counters(counts), hooks(std::move(calls)) {}

void Follower::Poll(std::function<void()> done) {
  // A poll in flight may have been answered before what `done` waits for was
  // committed: it gets one of its own.
  if (this->polling) {
    if (done)
      this->next.push_back(std::move(done));
    return;
  }
  this->polling = true;
  if (done)
    this->waiting.push_back(std::move(done));
  this->platform.Changes(
      this->snapshot->revision(),
      [this](const platform::Client::Answer<table::Delta>& answer) {
        this->polling = false;
        if (const auto* delta = std::get_if<table::Delta>(&answer))
          this->Install(*delta, true);
        const auto finished = std::exchange(this->waiting, {});
        for (const auto& call : finished)
          call();
        this->waiting = std::exchange(this->next, {});
        if (!this->waiting.empty() && !this->polling)
          this->Poll();
      });
}

void Follower::Install(const table::Delta& delta, bool fresh) {
  table::Applied applied = table::Snapshot::Apply(this->snapshot, delta);
  if (applied.fit != table::Fit::kApplied)
    return;
  this->LogBadRows(applied.bad_rows);
  this->snapshot = std::move(applied.snapshot);
  this->counters.Add(base::Counter::kSnapshotsInstalled);
  this->hooks.installed(delta, fresh);
}

void Follower::LogBadRows(const std::vector<table::BadRow>& bad_rows) {
  for (const table::BadRow& row : bad_rows)
    base::Log(
        base::Event::kSnapshotRejected,
        {{"row", row.key}, {"version", row.version}, {"problem", row.problem}});
}

void Follower::NoteRevision(const std::string& address,
                            table::Version revision,
                            base::Micros now) {
  if (revision <= this->snapshot->revision())
    return;
  if (now - this->last_pull<kPullPace&& this->last_pull.count()> 0)
    return;
  this->last_pull = now;
  const bool resumes = this->staged && this->staged_from == address;
  this->hooks.send(address,
                   peer::Pull{.after = resumes ? this->staged->revision()
                                               : this->snapshot->revision()});
}

void Follower::TakePart(const std::string& address,
                        const peer::DeltaPart& part,
                        base::Micros now) {
  if (part.goal <= this->snapshot->revision())
    return;
  // 1. Parts fit together only if one sender cut them from one snapshot.
  if (!this->staged || this->staged_from != address ||
      this->staged_goal != part.goal ||
      this->staged->revision() < this->snapshot->revision()) {
    this->staged = this->snapshot;
    this->staged_from = address;
    this->staged_goal = part.goal;
  }
  table::Applied applied = table::Snapshot::Apply(this->staged, part.delta);
  // 2. A part before this one was lost: ask for it.
  if (applied.fit == table::Fit::kGap) {
    this->NoteRevision(address, part.goal, now);
    return;
  }
  if (applied.fit == table::Fit::kStale)
    return;
  this->LogBadRows(applied.bad_rows);
  this->staged = std::move(applied.snapshot);
  // 3. The last part: what is staged comes into force as a whole.
  if (this->staged->revision() >= part.goal) {
    const table::Version before = this->snapshot->revision();
    this->snapshot = std::exchange(this->staged, nullptr);
    this->counters.Add(base::Counter::kSnapshotsInstalled);
    this->hooks.installed({.after = before, .upto = part.goal}, false);
    return;
  }
  // 4. The last of this answer, but not of the delta: ask for more.
  if (part.last_of_answer) {
    this->last_pull = {};
    this->NoteRevision(address, part.goal, now);
  }
}

std::vector<peer::DeltaPart> Follower::AnswerPull(
    const peer::Pull& pull) const {
  if (pull.after >= this->snapshot->revision())
    return {};
  std::vector<peer::DeltaPart> parts =
      peer::Split(this->snapshot->Since(pull.after));
  if (parts.size() > kPartsAPull)
    parts.resize(kPartsAPull);
  parts.back().last_of_answer = true;
  return parts;
}

}  // namespace quartzhoist::daemon
