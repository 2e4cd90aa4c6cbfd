// Claims of requests that must run at most once: a row of the platform's
// table, written before the first byte goes to a target and never taken over.
// Writes that wait while one is on its way go together in the next.

#ifndef DAEMON_CLAIMS_H_
#define DAEMON_CLAIMS_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "daemon/messages.h"
#include "platform/client.h"

namespace quartzhoist::daemon {

class Claims {
 public:
  // `writer_prefix` must be this incarnation's alone.
  Claims(base::Loop& loop,
         platform::Client& platform,
         base::Counters& counters,
         std::string writer_prefix,
         std::function<void(ClaimDecided)> decide);

  void Want(const WantClaim& message);
  void Keep(const KeepOutcome& message);
  void Release(const ReleaseClaim& message);

  // Writes that wait or are on their way.
  std::size_t pending() const {
    return this->queue.size() + this->in_flight + this->later.size();
  }

 private:
  // One conditional write and what its outcome leads to.
  struct Job {
    platform::Transaction transaction;
    std::function<void(const platform::CommitOutcome&)> done;
  };

  // A write that is tried until the platform has decided on it.
  struct Pending {
    platform::Transaction transaction;
    std::function<void(const platform::Committed&)> committed;  // may be empty
  };

  void Add(Job job);
  void AddPending(Pending pending);
  void Flush();
  void DecideWant(const WantClaim& want,
                  const platform::Transaction& transaction,
                  const platform::CommitOutcome& outcome);
  void FreeLater(const platform::Transaction& transaction);
  std::string NextWriter();

  platform::Client& platform;
  base::Counters& counters;
  std::string writer_prefix;
  std::function<void(ClaimDecided)> decide;
  std::vector<Job> queue;
  std::size_t in_flight = 0;
  // Writes that failed: tried again once the platform is back.
  std::vector<Pending> later;
  std::uint64_t last_writer = 0;
  base::Timer retry;
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_CLAIMS_H_
