// Logs the decisions and findings that the scheduler returns among its actions.

#ifndef ENTRY_DECISION_LOG_H_
#define ENTRY_DECISION_LOG_H_

#include "scheduler/actions.h"

namespace quartzhoist::entry {

void LogJobFinished(const scheduler::JobFinished& finished);
void LogTaskGivenUp(const scheduler::TaskGivenUp& given_up);
void LogWorkerLost(const scheduler::WorkerLost& lost);
void LogWorkerRestarted(const scheduler::WorkerRestarted& restarted);
void LogWorkerCapacityChanged(const scheduler::WorkerCapacityChanged& changed);
void LogRunEndIgnored(const scheduler::RunEndIgnored& ignored);
void LogLongRunningStalled(const scheduler::LongRunningStalled& stalled);
void LogBoxesRested(int shard, const scheduler::BoxesRested& rested);
void LogJobFailed(const scheduler::JobFailed& failed);
void LogProgressRejected(const scheduler::ProgressRejected& rejected);
void LogNote(const scheduler::LogNote& note);

}  // namespace quartzhoist::entry

#endif  // ENTRY_DECISION_LOG_H_
