// Bounds an owner's calls to the advice service by what it can answer. The
// service handles the calls of a machine one at a time: more open calls get no
// more answers, only later ones.

#ifndef SCHEDULER_ADVICE_CALLS_H_
#define SCHEDULER_ADVICE_CALLS_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "base/clock.h"
#include "scheduler/facts.h"

namespace quartzhoist::scheduler {

// Use of the answer to a call.
enum class AdviceUse {
  kStart,        // a task can start with it
  kSpeculative,  // there is no room now, or earlier answers were of no use
};

using AdviceCallId = std::uint64_t;

class AdviceCalls {
 public:
  struct Sent {
    AdviceCallId id = 0;
    base::Micros time_limit{};
  };
  // Since this owner began.
  struct Counts {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t rejected = 0;
    std::uint64_t unanswered = 0;

    bool operator==(const Counts&) const = default;
  };

  // Whether another call may be sent. `service_time`: what it takes the service
  // by the queue's configuration.
  bool MaySend(AdviceUse use,
               base::Micros service_time,
               base::Micros now) const;
  std::size_t open() const { return this->calls.size(); }
  const Counts& counts() const { return this->totals; }
  // How long an answer takes at present.
  base::Micros expected_answer_time() const { return this->answer_time; }

  // Notes that a call is sent.
  Sent Send(AdviceUse use, base::Micros service_time, base::Micros now);
  void Ended(AdviceCallId id, AdviceOutcome outcome, base::Micros now);
  // Takes calls for unanswered whose end should have been noted long ago.
  void Expire(base::Micros now);

 private:
  struct Call {
    AdviceUse use = AdviceUse::kStart;
    base::Micros service_time{};
    base::Micros sent_at{};
    base::Micros time_limit{};
  };

  base::Micros TimeLimit(base::Micros service_time) const;
  void NoteAnswer(const Call& call, base::Micros now);
  void NoteRejection(const Call& call, base::Micros now);
  void NoteSilence(const Call& call, base::Micros now);

  std::map<AdviceCallId, Call> calls;  // open
  Counts totals;
  // Rises at once, falls slowly.
  base::Micros answer_time{};
  // Calls that may be open: one after silence, one more with each answer.
  std::size_t window = kMaxOpen;
  // In a row. Calls that were open together count once.
  int silences = 0;
  int rejections = 0;
  base::Micros last_setback{};  // silence or rejection
  base::Micros not_before{};

  static constexpr std::size_t kMaxOpen = 8;
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_ADVICE_CALLS_H_
