// Which request is next, and which target it goes to.

#include <algorithm>
#include <utility>

#include "dispatch/dispatcher.h"

namespace quartzhoist::dispatch {

namespace {

// The share of a pool's starts that patient work is sure of while urgent work
// waits: it finishes, and urgent work keeps nine tenths.
constexpr double kPatientShare = 0.1;

// Gain of the moving average of what patient work gets: some ten starts decide,
// so that a burst of urgent work does not turn patient callers away.
constexpr double kShareGain = 0.02;

// At most this share of a pool's targets is ejected for failing. Targets that
// cannot be reached do not count: no request can cause that.
constexpr double kMaxEjectedShare = 0.5;

}  // namespace

void Dispatcher::Pump(Index pool_index, base::Micros now, Actions& actions) {
  PoolEntry& pool = this->pools[pool_index];
  while (true) {
    // 1. Whose turn it is.
    const Index service_index = this->NextService(pool);
    if (service_index == kNone)
      return;
    ServiceEntry& service = this->services[service_index];
    const Index request = service.head;
    // 2. Too late: the answer is due at once.
    if (this->requests[request].deadline <= now) {
      this->Unlink(request);
      this->RefuseNow(request, Reason::kDeadline,
                      RetryAfter(this->ExpectedWait(service)), actions);
      continue;
    }
    // 3. Where it goes; not where it just failed, if there is a choice.
    const TargetIndex target =
        this->ChooseTarget(pool, this->requests[request].target, now);
    if (target == kNoTargetIndex)
      return;
    // 4. Send it.
    this->Charge(pool, service);
    this->Send(request, target, now, actions);
  }
}

Dispatcher::Index Dispatcher::NextService(const PoolEntry& pool) const {
  const Index urgent = this->FirstService(pool, table::Urgency::kUrgent);
  const Index patient = this->FirstService(pool, table::Urgency::kPatient);
  if (urgent == kNone)
    return patient;
  if (patient != kNone && pool.patient_credit >= 1.0)
    return patient;
  return urgent;
}

// Smallest order first; among equals the one that has had the least for its
// weight.
Dispatcher::Index Dispatcher::FirstService(const PoolEntry& pool,
                                           table::Urgency urgency) const {
  Index first = kNone;
  for (const Index index : pool.services) {
    const ServiceEntry& service = this->services[index];
    if (service.queued == 0 || service.row.urgency != urgency)
      continue;
    if (first == kNone) {
      first = index;
      continue;
    }
    const ServiceEntry& best = this->services[first];
    if (std::pair(service.row.order, service.pass) <
        std::pair(best.row.order, best.pass))
      first = index;
  }
  return first;
}

bool Dispatcher::HasQueued(const PoolEntry& pool,
                           table::Urgency urgency) const {
  return this->FirstService(pool, urgency) != kNone;
}

void Dispatcher::Charge(PoolEntry& pool, ServiceEntry& service) {
  pool.pass = std::max(pool.pass, service.pass);
  service.pass += 1.0 / static_cast<double>(service.row.weight);
  const bool urgent = service.row.urgency == table::Urgency::kUrgent;
  if (!urgent)
    pool.patient_credit = std::max(0.0, pool.patient_credit - 1.0);
  else if (this->HasQueued(pool, table::Urgency::kPatient))
    pool.patient_credit += kPatientShare / (1.0 - kPatientShare);
  else
    return;
  pool.patient_share += kShareGain * ((urgent ? 0 : 1) - pool.patient_share);
}

// Least loaded for its limit, failures counting as load; ties by chance. The
// own zone's targets go first; others only while it has none to use.
TargetIndex Dispatcher::ChooseTarget(const PoolEntry& pool,
                                     TargetIndex avoid,
                                     base::Micros now) {
  const std::size_t count = pool.targets.size();
  if (count == 0)
    return kNoTargetIndex;
  const bool local_only = this->HasLocal(pool);
  const std::size_t start = this->random() % count;
  TargetIndex best = kNoTargetIndex;
  double best_load = 0;
  for (std::size_t i = 0; i < count; ++i) {
    const TargetIndex index = pool.targets[(start + i) % count];
    const TargetEntry& entry = this->targets[index];
    if ((local_only && !entry.target.local) || !IsFree(entry, now))
      continue;
    double load = entry.in_flight / entry.limit + entry.health.failure_rate;
    if (index == avoid)
      load += 2.0;
    if (best == kNoTargetIndex || load < best_load) {
      best = index;
      best_load = load;
    }
  }
  return best;
}

bool Dispatcher::IsUsable(const TargetEntry& target) {
  return target.present && !target.target.leaving && target.target.share > 0 &&
         target.health.state != HealthState::kEjected;
}

bool Dispatcher::IsFree(const TargetEntry& target, base::Micros now) {
  if (!IsUsable(target) || now < target.hold_until)
    return false;
  if (target.health.state == HealthState::kProbing)
    return target.in_flight == 0;
  return target.in_flight < static_cast<int>(target.limit);
}

bool Dispatcher::HasLocal(const PoolEntry& pool) const {
  return std::any_of(pool.targets.begin(), pool.targets.end(),
                     [this](TargetIndex index) {
                       const TargetEntry& entry = this->targets[index];
                       return entry.target.local && IsUsable(entry);
                     });
}

bool Dispatcher::HasFreeSlot(const PoolEntry& pool, base::Micros now) const {
  const bool local_only = this->HasLocal(pool);
  return std::any_of(pool.targets.begin(), pool.targets.end(),
                     [&](TargetIndex index) {
                       const TargetEntry& entry = this->targets[index];
                       const bool allowed = !local_only || entry.target.local;
                       return allowed && IsFree(entry, now);
                     });
}

int Dispatcher::UsableSlots(const PoolEntry& pool) const {
  int local = 0;
  int remote = 0;
  for (const TargetIndex index : pool.targets) {
    const TargetEntry& entry = this->targets[index];
    if (!IsUsable(entry))
      continue;
    const int slots = entry.health.state == HealthState::kProbing
                          ? 1
                          : static_cast<int>(entry.limit);
    (entry.target.local ? local : remote) += slots;
  }
  return local > 0 ? local : remote;
}

// Work ahead of a new request of the service, over the slots that serve it.
// Urgent work waits for what is urgent and not later in order; patient work
// for what is patient, at the share of starts that it has been getting.
base::Micros Dispatcher::ExpectedWait(const ServiceEntry& service) const {
  const PoolEntry& pool = this->pools[service.pool];
  const int slots = this->UsableSlots(pool);
  if (slots == 0)
    return base::Micros{};
  double own_class = 0;
  double other_class = 0;
  for (const Index index : pool.services) {
    const ServiceEntry& other = this->services[index];
    const double work = static_cast<double>(other.queued) *
                        static_cast<double>(other.typical_time.count());
    if (other.row.urgency != service.row.urgency)
      other_class += work;
    else if (other.row.order <= service.row.order)
      own_class += work;
  }
  const bool urgent = service.row.urgency == table::Urgency::kUrgent;
  double wait = own_class / slots;
  if (urgent && other_class > 0)
    wait = own_class / (slots * (1.0 - kPatientShare));
  if (!urgent)
    wait = own_class / (slots * std::max(kPatientShare, pool.patient_share));
  return base::Micros(static_cast<std::int64_t>(wait));
}

// How long until an ejected target is tried again; a second if none is.
base::Micros Dispatcher::UntilProbe(const PoolEntry& pool,
                                    base::Micros now) const {
  base::Micros soonest = std::chrono::seconds(1);
  for (const TargetIndex index : pool.targets) {
    const TargetEntry& entry = this->targets[index];
    if (entry.present && entry.health.state == HealthState::kEjected)
      soonest = std::min(soonest, entry.health.ejected_until - now);
  }
  return std::max(soonest, base::Micros{});
}

bool Dispatcher::MayEject(const TargetEntry& target) const {
  if (target.health.unreachable)
    return true;
  const PoolEntry& pool = this->pools[target.pool];
  double present = 0;
  double ejected = 0;
  for (const TargetIndex index : pool.targets) {
    const TargetEntry& entry = this->targets[index];
    if (!entry.present || entry.target.local != target.target.local)
      continue;
    ++present;
    if (entry.health.state != HealthState::kHealthy)
      ++ejected;
  }
  // A probe that failed goes back to where it came from.
  if (target.health.state == HealthState::kProbing)
    return true;
  return ejected + 1 <= kMaxEjectedShare * present;
}

}  // namespace quartzhoist::dispatch
