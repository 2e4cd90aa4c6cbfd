// Log lines of what the scheduler decided or found out.

#ifndef ENTRY_DECISION_LOG_H_
#define ENTRY_DECISION_LOG_H_

#include "scheduler/actions.h"

namespace quartzhoist::entry {

void LogJobOver(const scheduler::JobFinished& over);
void LogTaskGivenUp(const scheduler::TaskGivenUp& given_up);
void LogWorkerLost(const scheduler::WorkerLost& lost);
void LogWorkerRestarted(const scheduler::WorkerRestarted& restarted);
void LogEndSkipped(const scheduler::RunEndIgnored& skipped);
void LogNote(const scheduler::LogNote& note);

}  // namespace quartzhoist::entry

#endif  // ENTRY_DECISION_LOG_H_
