// Converts the result of a store write into the save result for the scheduler.

#ifndef ENTRY_SAVE_RESULT_H_
#define ENTRY_SAVE_RESULT_H_

#include "platform/store.h"
#include "scheduler/actions.h"
#include "scheduler/scheduler.h"

namespace quartzhoist::entry {

// `stored_row`: the job's row that the conflict returned, or null.
scheduler::SaveResult MakeSaveResult(const scheduler::SaveProgress& save,
                                     const platform::WriteResult& result,
                                     const platform::Row* stored_row);

}  // namespace quartzhoist::entry

#endif  // ENTRY_SAVE_RESULT_H_
