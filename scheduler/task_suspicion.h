// How far a task of a job is suspected of crashing its workers, and its last
// tries before it is given up.

#ifndef SCHEDULER_TASK_SUSPICION_H_
#define SCHEDULER_TASK_SUSPICION_H_

#include "base/clock.h"
#include "scheduler/job.h"
#include "scheduler/suspects.h"

namespace quartzhoist::scheduler {

Suspicion SuspicionOf(const Job& job,
                      const TaskPosition& position,
                      base::Micros now);
// The suspicion of the run that would start: members of a gang start together.
Suspicion SuspicionOfStart(const Job& job,
                           const TaskPosition& position,
                           base::Micros now);

// Records the run if it is a last try. Called when the run is planned, so that
// the row has it before the start.
void RecordLastTry(Job& job, const TaskPosition& position, int run);
// Undoes RecordLastTry for a run that was not started.
void RevokeLastTry(Job& job, const TaskPosition& position, int run);

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_TASK_SUSPICION_H_
