// Refusals as HTTP: problem details (RFC 9457) that always say whether the
// request may have run and, if it is worth it, when to come back.

#ifndef DAEMON_PROBLEM_H_
#define DAEMON_PROBLEM_H_

#include <string>

#include "base/clock.h"
#include "base/verdict.h"
#include "dispatch/events.h"
#include "http/message.h"

namespace quartzhoist::daemon {

struct Problem {
  int status = 503;
  std::string reason;  // a stable word for programs, such as "queue_full"
  std::string detail;  // for people
  base::Verdict verdict = base::Verdict::kNotRun;
  base::Micros retry_after{};  // zero: coming back will not help
};

http::Response ToResponse(const Problem& problem);

Problem ToProblem(const dispatch::Refuse& refusal);

}  // namespace quartzhoist::daemon

#endif  // DAEMON_PROBLEM_H_
