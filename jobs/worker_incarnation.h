// One life of a worker's process.

#ifndef JOBS_WORKER_INCARNATION_H_
#define JOBS_WORKER_INCARNATION_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace quartzhoist::jobs {

// A worker may start again under its id. It then holds and knows nothing of
// before, so that what one life said, or was told, holds for that life alone.
struct WorkerIncarnation {
  std::string id;             // empty: none
  std::int64_t start_ms = 0;  // its start, since 1970; 0: not known

  bool operator==(const WorkerIncarnation&) const = default;
  bool operator<(const WorkerIncarnation& other) const {
    return std::tie(this->id, this->start_ms) <
           std::tie(other.id, other.start_ms);
  }
  bool empty() const { return this->id.empty(); }
  // A later life of the same worker.
  bool IsAfter(const WorkerIncarnation& other) const {
    return this->id == other.id && this->start_ms > other.start_ms;
  }
};

// Another life than `before` for certain: where a start is not known, the id
// alone tells.
bool IsDifferentIncarnation(const WorkerIncarnation& before,
                            const WorkerIncarnation& seen);

// ID@START, for keys of records and for the log.
std::string FormatWorkerIncarnation(const WorkerIncarnation& life);
// Also of the earlier form, which is the id alone.
WorkerIncarnation ParseWorkerIncarnation(std::string_view text);

}  // namespace quartzhoist::jobs

#endif  // JOBS_WORKER_INCARNATION_H_
