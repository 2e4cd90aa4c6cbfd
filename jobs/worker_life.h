// One life of a worker's process.

#ifndef JOBS_WORKER_LIFE_H_
#define JOBS_WORKER_LIFE_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace quartzhoist::jobs {

// A worker may start again under its id. It then holds and knows nothing of
// before, so that what one life said, or was told, holds for that life alone.
struct WorkerLife {
  std::string id;            // empty: none
  std::int64_t born_ms = 0;  // its start, since 1970; 0: not known

  bool operator==(const WorkerLife&) const = default;
  bool operator<(const WorkerLife& other) const {
    return std::tie(this->id, this->born_ms) <
           std::tie(other.id, other.born_ms);
  }
  bool empty() const { return this->id.empty(); }
  // A later life of the same worker.
  bool IsAfter(const WorkerLife& other) const {
    return this->id == other.id && this->born_ms > other.born_ms;
  }
};

// Another life than `before` for certain: where a start is not known, the id
// alone tells.
bool IsOtherLife(const WorkerLife& before, const WorkerLife& seen);

// ID@START, for keys of records and for the log.
std::string TextOf(const WorkerLife& life);
// Also of the earlier form, which is the id alone.
WorkerLife ParseWorkerLife(std::string_view text);

}  // namespace quartzhoist::jobs

#endif  // JOBS_WORKER_LIFE_H_
