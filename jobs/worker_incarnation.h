// Identifies one incarnation of a worker process.

#ifndef JOBS_WORKER_INCARNATION_H_
#define JOBS_WORKER_INCARNATION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace quartzhoist::jobs {

// A worker may restart under the same id. It then has no state from before, so
// messages to and from one incarnation apply to that incarnation only.
struct WorkerIncarnation {
  std::string id;             // empty: no worker
  std::int64_t start_ms = 0;  // start of the process, Unix time; 0: unknown

  bool operator==(const WorkerIncarnation&) const = default;
  bool operator<(const WorkerIncarnation& other) const {
    return std::tie(this->id, this->start_ms) <
           std::tie(other.id, other.start_ms);
  }
  bool empty() const { return this->id.empty(); }
  // Whether this is a later incarnation of the same worker.
  bool IsAfter(const WorkerIncarnation& other) const {
    return this->id == other.id && this->start_ms > other.start_ms;
  }
};

// Whether `seen` is certainly not the incarnation `before`. If either start
// time is unknown, only the ids are compared.
bool IsDifferentIncarnation(const WorkerIncarnation& before,
                            const WorkerIncarnation& seen);

// ID@START, for record keys and the log.
std::string FormatWorkerIncarnation(const WorkerIncarnation& life);
// Also accepts the earlier format, which is the id alone.
WorkerIncarnation ParseWorkerIncarnation(std::string_view text);

}  // namespace quartzhoist::jobs

#endif  // JOBS_WORKER_INCARNATION_H_
