// Reasons why a ready task waits.

#ifndef SCHEDULER_WAIT_REASON_H_
#define SCHEDULER_WAIT_REASON_H_

#include "base/enum_names.h"

namespace quartzhoist::scheduler {

enum class WaitReason {
  kCapacity,          // free capacity in its pool, or its turn
  kQuota,             // its organisation's quota is exhausted
  kNoSuitableWorker,  // no worker has its label and is large enough
  kAdvice,            // which workers are allowed to run it
  kLease,             // another owner may have renewed an expired lease
  kSuspect,           // an idle worker, or the outcome of lost workers
  kRow,               // room in the job's row for another placement
};

inline constexpr base::EnumNames<WaitReason, 7> kWaitReasonNames{{
    {WaitReason::kCapacity, "room"},
    {WaitReason::kQuota, "quota"},
    {WaitReason::kNoSuitableWorker, "worker"},
    {WaitReason::kAdvice, "advice"},
    {WaitReason::kLease, "lease"},
    {WaitReason::kSuspect, "suspect"},
    {WaitReason::kRow, "row"},
}};

// Whether an additional box could let the task start.
constexpr bool MoreBoxesMayHelp(WaitReason reason) {
  return reason != WaitReason::kQuota &&
         reason != WaitReason::kNoSuitableWorker && reason != WaitReason::kRow;
}

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_WAIT_REASON_H_
