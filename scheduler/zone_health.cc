#include "scheduler/zone_health.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <vector>

namespace quartzhoist::scheduler {

namespace {

// So many workers of a zone must have left calls unanswered. Fewer may have
// crashed each for a reason of its own.
constexpr std::size_t kMinSilentWorkers = 3;
// Calls that were sent longer ago say nothing about now. Covers the timeout of
// a call (0.8 s) and the polls of busy workers.
constexpr base::Micros kEvidenceWindow = std::chrono::seconds(3);

struct Evidence {
  // Send time of each silent worker's first unanswered call, of recent ones.
  std::vector<base::Micros> unanswered;
  std::vector<base::Micros> contacts;  // latest answers of the others
  std::size_t silent = 0;              // workers, however long
};

std::size_t CountSince(const std::vector<base::Micros>& times,
                       base::Micros since) {
  return static_cast<std::size_t>(
      std::count_if(times.begin(), times.end(),
                    [since](base::Micros at) { return at >= since; }));
}

// Returns the send time of the call since which silent workers outnumber those
// that answer, or zero. Only answers that came after it count: those of busy
// workers may be just older than the loss of the zone.
base::Micros SilentSince(Evidence& evidence) {
  std::vector<base::Micros>& unanswered = evidence.unanswered;
  if (unanswered.size() < kMinSilentWorkers)
    return {};
  std::sort(unanswered.begin(), unanswered.end(), std::greater<>());
  const base::Micros since = unanswered[kMinSilentWorkers - 1];
  const std::size_t answering = CountSince(evidence.contacts, since);
  return answering < CountSince(unanswered, since) ? since : base::Micros();
}

}  // namespace

void ZoneHealth::Update(
    const std::map<jobs::WorkerIncarnation, Worker>& workers,
    base::Micros now) {
  std::map<std::string, Evidence> by_zone;
  for (const auto& [incarnation, worker] : workers) {
    if (worker.info.zone.empty())
      continue;
    Evidence& evidence = by_zone[worker.info.zone];
    if (worker.failed_calls == 0) {
      evidence.contacts.push_back(worker.last_contact_at);
      continue;
    }
    ++evidence.silent;
    if (worker.unanswered_since > now - kEvidenceWindow)
      evidence.unanswered.push_back(worker.unanswered_since);
  }
  // 1. A zone is back once as many of its workers have answered as are silent.
  std::erase_if(this->silent_since, [&](const auto& entry) {
    const Evidence& evidence = by_zone[entry.first];
    return CountSince(evidence.contacts, entry.second) >= evidence.silent;
  });
  // 2. Zones that have become silent.
  for (auto& [zone, evidence] : by_zone) {
    const base::Micros since = SilentSince(evidence);
    if (since > base::Micros::zero())
      this->silent_since.try_emplace(zone, since);
  }
}

bool ZoneHealth::IsDoubtful(const Worker& worker) const {
  const auto since = this->silent_since.find(worker.info.zone);
  return since != this->silent_since.end() &&
         worker.last_contact_at < since->second;
}

}  // namespace quartzhoist::scheduler
