// Advice on a step: the workers that are allowed to run it, as far as the
// service has answered, and the workers to name in the next request.

#ifndef SCHEDULER_STEP_ADVICE_H_
#define SCHEDULER_STEP_ADVICE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/worker_incarnation.h"
#include "scheduler/advice_calls.h"
#include "scheduler/facts.h"

namespace quartzhoist::scheduler {

// A worker that may be named in a request for advice.
struct AdviceCandidate {
  jobs::WorkerIncarnation worker;
  std::int64_t used_cpu_millis = 0;
  bool has_room = false;  // for a task of the step
};

class StepAdvice {
 public:
  // Whether the worker holds a ticket that a start can still use.
  bool HasTicket(const jobs::WorkerIncarnation& worker, base::Micros now) const;
  std::vector<jobs::WorkerIncarnation> WorkersWithTickets(
      base::Micros now) const;
  // Empty if the worker has none.
  std::string TicketFor(const jobs::WorkerIncarnation& worker) const;
  // The worker rejected its ticket. Drops those that are as old, too.
  void DropTicket(const jobs::WorkerIncarnation& worker);
  // A task of the step is started with a ticket.
  void NoteUse() { this->is_unused = false; }

  // Whether a request may be sent: none is in flight and the retry interval is
  // over.
  bool MayRequest(base::Micros now) const;
  // Whether an answer about these workers would let a task start. `has_room`:
  // they have it for a task of the step, or for all members of its gang.
  AdviceUse UseOfRequest(const std::vector<AdviceCandidate>& candidates,
                         bool has_room) const;
  // Whether to ask only once there is room: earlier tickets have expired
  // unused, and others would too.
  bool WaitsForRoom(bool has_room) const;
  // Another step's request goes first.
  void Postpone(base::Micros now);
  // Workers to name in the next request, which counts as sent. None if all
  // candidates have been answered for. `tasks` is the number of tasks of the
  // step; `has_ticket`, whether a candidate has a ticket, which then had no
  // room.
  std::vector<jobs::WorkerIncarnation> Request(
      std::vector<AdviceCandidate> candidates,
      std::size_t tasks,
      bool has_ticket,
      base::Micros now);
  // The request has been sent and ends within the time limit.
  void RequestSent(base::Micros time_limit, base::Micros now);
  void RequestFailed(AdviceOutcome outcome, base::Micros now);
  // The service has taken `service_time` at most for the answer itself.
  void RequestAnswered(const std::vector<jobs::WorkerIncarnation>& asked,
                       const Advice& answer,
                       base::Micros service_time,
                       base::Micros now);

 private:
  struct Ticket {
    std::string text;
    base::Micros usable_until{};
  };

  bool IsDenied(const jobs::WorkerIncarnation& worker) const;
  std::size_t NextCount(std::size_t tasks, bool has_ticket);

  // By allowed worker. Expired tickets are kept: the service's answer for a
  // worker does not change, so these workers are asked for first.
  std::map<jobs::WorkerIncarnation, Ticket> tickets;
  std::vector<std::uint64_t> denied;  // fingerprints, sorted
  base::Micros requested_at{};
  base::Micros not_before{};  // the next request
  base::Micros forget_denied_at = base::Micros::max();
  int fruitless_requests = 0;  // in a row
  bool denied_all = false;     // those named in the latest request
  int denied_rounds = 0;       // all candidates were denied, in a row
  int unusable_answers = 0;    // in a row
  bool is_unused = false;      // no task was started with the latest tickets
  bool in_flight = false;
  base::Micros in_flight_until{};  // by then it has ended, whatever is noted
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_STEP_ADVICE_H_
