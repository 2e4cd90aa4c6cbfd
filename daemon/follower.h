// Follows the platform's table: asks the platform, or a peer that knows more,
// and installs what is newer. Never goes back.

#ifndef DAEMON_FOLLOWER_H_
#define DAEMON_FOLLOWER_H_

#include <functional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "peer/message.h"
#include "platform/client.h"
#include "table/snapshot.h"

namespace quartzhoist::daemon {

class Follower {
 public:
  struct Hooks {
    // A newer snapshot is in force here; `fresh` came from the platform and
    // peers may lack it.
    std::function<void(const table::Delta& delta, bool fresh)> installed;
    std::function<void(const std::string& address, const peer::Body&)> send;
  };

  Follower(platform::Client& platform, base::Counters& counters, Hooks hooks);

  const table::SnapshotPtr& current() const { return this->snapshot; }
  // Has anything been learned since the start?
  bool has_table() const { return this->snapshot->revision() > 0; }

  // Asks the platform for what is new. `done` is called after its answer, if
  // any, is installed.
  void Poll(std::function<void()> done = {});
  // A peer says that it has `revision`.
  void NoteRevision(const std::string& address,
                    table::Version revision,
                    base::Micros now);
  void TakePart(const std::string& address,
                const peer::DeltaPart& part,
                base::Micros now);
  // What a peer at `after` lacks, as much of it as one answer may hold.
  std::vector<peer::DeltaPart> AnswerPull(const peer::Pull& pull) const;

 private:
  void Install(const table::Delta& delta, bool fresh);
  void LogBadRows(const std::vector<table::BadRow>& bad_rows);

  platform::Client& platform;
  base::Counters& counters;
  Hooks hooks;
  table::SnapshotPtr snapshot = table::Snapshot::Empty();
  std::vector<std::function<void()>> waiting;  // for the poll in flight
  std::vector<std::function<void()>> next;     // for the one after it
  bool polling = false;
  // Parts of a delta on their way; shown to nobody before the last is here.
  table::SnapshotPtr staged;
  std::string staged_from;
  table::Version staged_goal = 0;
  base::Micros last_pull{};
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_FOLLOWER_H_
