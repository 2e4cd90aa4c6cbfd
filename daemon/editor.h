// Carries out operators' edits: checks them, writes them on condition that
// nobody wrote the rows since, and settles races and lost replies.

#ifndef DAEMON_EDITOR_H_
#define DAEMON_EDITOR_H_

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "base/counters.h"
#include "daemon/follower.h"
#include "platform/client.h"
#include "table/edit.h"

namespace quartzhoist::daemon {

// The edit is in the table, or was there before.
struct EditAccepted {
  table::Version version = 0;  // in force once a daemon has this revision
  std::vector<std::string> changed;
};

using EditResult = std::variant<EditAccepted,
                                table::EditConflict,
                                std::vector<table::Fault>,
                                platform::Failure>;

class Editor {
 public:
  Editor(platform::Client& platform,
         Follower& follower,
         base::Counters& counters,
         std::string writer_prefix);

  void Submit(table::Edit edit, std::function<void(EditResult)> done);

 private:
  struct Work;

  void Try(const std::shared_ptr<Work>& work);
  void TakeOutcome(const std::shared_ptr<Work>& work,
                   const table::Edited& edited,
                   const platform::CommitOutcome& outcome);

  platform::Client& platform;
  Follower& follower;
  base::Counters& counters;
  std::string writer_prefix;
  std::uint64_t last_writer = 0;
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_EDITOR_H_
