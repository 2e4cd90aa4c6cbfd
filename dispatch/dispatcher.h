// Admission and dispatch: which request goes to which target and when, and
// which is refused. A pure decision: state, one event, the time; out come
// actions. No clock, no sockets; random numbers from the seed handed in.

#ifndef DISPATCH_DISPATCHER_H_
#define DISPATCH_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatch/events.h"
#include "dispatch/retry_budget.h"
#include "dispatch/routes.h"
#include "dispatch/target_health.h"

namespace quartzhoist::dispatch {

// What a dump shows of a service.
struct ServiceView {
  std::string name;
  std::size_t queued = 0;
  base::Micros typical_time{};
};

// What a dump shows of a target.
struct TargetView {
  Target target;
  HealthState health = HealthState::kHealthy;
  double failure_rate = 0;
  int in_flight = 0;
  int limit = 0;
};

class Dispatcher {
 public:
  explicit Dispatcher(std::uint64_t seed) : random(seed) {}

  // Commands. Each appends to `actions`.
  void Install(const RoutesPtr& routes, base::Micros now, Actions& actions);
  // The request's actions may already be among `actions` on return.
  RequestId Arrive(const Arrival& arrival, base::Micros now, Actions& actions);
  // Unknown and finished requests are ignored.
  void Settle(const TryResult& result, base::Micros now, Actions& actions);
  void Cancel(RequestId request, base::Micros now, Actions& actions);
  // To be called every kTickPeriod.
  void Tick(base::Micros now, Actions& actions);

  static constexpr base::Micros kTickPeriod{10'000};

  // Queries.
  // Why the request would be refused if it arrived now, or nothing. Asked
  // before a claim is written, so that overload costs the platform nothing.
  std::optional<Refuse> WouldRefuse(const Arrival& arrival,
                                    base::Micros now) const;
  const Target& TargetAt(TargetIndex index) const {
    return this->targets[index].target;
  }
  const Routes* routes() const { return this->current.get(); }
  std::size_t open_requests() const { return this->open; }
  std::vector<ServiceView> ViewServices() const;
  std::vector<TargetView> ViewTargets() const;

 private:
  using Index = std::uint32_t;
  static constexpr Index kNone = ~Index{0};

  enum class RequestState { kFree, kQueued, kInFlight };

  struct RequestEntry {
    RequestId id = 0;
    RequestState state = RequestState::kFree;
    Index service = kNone;
    Index previous = kNone;  // in its service's queue
    Index next = kNone;
    TargetIndex target = kNoTargetIndex;  // the last one tried
    base::Micros deadline{};
    base::Micros sent_at{};
    int tries = 0;
    bool repeatable = false;
    bool may_have_run = false;
  };

  struct ServiceEntry {
    table::ServiceRow row;
    Index pool = kNone;
    Index head = kNone;
    Index tail = kNone;
    std::size_t queued = 0;
    double pass = 0;  // weighted share taken so far, among its pool's services
    base::Micros typical_time{};  // moving average of a try
    base::Micros deviation{};     // moving average of its distance from that
    bool present = false;

    void NoteTime(base::Micros took);
    // What a waiting request must have left to be answered in time, mostly.
    base::Micros TimeNeeded() const;
  };

  struct TargetEntry {
    Target target;
    TargetHealth health;
    Index pool = kNone;
    int in_flight = 0;
    double limit = 1;           // its share, or less after refusals
    base::Micros hold_until{};  // full a moment ago: nothing is sent before
    int refusals = 0;           // in a row
    bool present = false;
    bool drain_reported = false;
  };

  // The slot of a cancelled try, which the target may still count as taken.
  struct SettlingSlot {
    TargetIndex target = kNoTargetIndex;
    base::Micros free_at{};
  };

  struct PoolEntry {
    std::string name;
    std::vector<TargetIndex> targets;
    std::vector<Index> services;
    RetryBudget budget;
    double pass = 0;            // of the service served last
    double patient_credit = 0;  // starts owed to patient work
    // Moving average: of the starts made while patient work waited, the share
    // that patient work got.
    double patient_share = 1;
  };

  // Installing.
  Index PoolNamed(const std::string& name);
  void InstallServices(const Routes& routes, Actions& actions);
  void InstallTargets(const Routes& routes);
  TargetEntry& TargetNamed(const std::string& name);
  void RebuildPools();

  // Queues.
  Index NewRequest(const Arrival& arrival, Index service);
  void Free(Index request);
  void PushBack(Index request);
  void PushFront(Index request);
  void Unlink(Index request);
  Index Find(RequestId id) const;

  // Choosing.
  void Pump(Index pool, base::Micros now, Actions& actions);
  Index NextService(const PoolEntry& pool) const;
  Index FirstService(const PoolEntry& pool, table::Urgency urgency) const;
  bool HasQueued(const PoolEntry& pool, table::Urgency urgency) const;
  void Charge(PoolEntry& pool, ServiceEntry& service);
  TargetIndex ChooseTarget(const PoolEntry& pool,
                           TargetIndex avoid,
                           base::Micros now);
  static bool IsUsable(const TargetEntry& target);
  static bool IsFree(const TargetEntry& target, base::Micros now);
  bool HasLocal(const PoolEntry& pool) const;
  int UsableSlots(const PoolEntry& pool) const;
  bool HasFreeSlot(const PoolEntry& pool, base::Micros now) const;
  base::Micros ExpectedWait(const ServiceEntry& service) const;
  base::Micros UntilProbe(const PoolEntry& pool, base::Micros now) const;

  // Ending.
  void Send(Index request, TargetIndex target, base::Micros now, Actions& out);
  void EndTry(RequestEntry& request,
              TryOutcome outcome,
              base::Micros now,
              Actions& actions);
  void NoteHealth(TargetIndex index,
                  TryOutcome outcome,
                  base::Micros now,
                  Actions& actions);
  bool MayEject(const TargetEntry& target) const;
  void Resolve(Index request,
               TryOutcome outcome,
               base::Micros now,
               Actions& actions);
  bool MayRetry(const RequestEntry& request, base::Micros now);
  void RefuseNow(Index request,
                 Reason reason,
                 base::Micros retry_after,
                 Actions& actions);
  void RefuseQueue(ServiceEntry& service,
                   Reason reason,
                   base::Micros retry_after,
                   Actions& actions);
  void RefuseHopeless(ServiceEntry& service, base::Micros now, Actions& out);
  void ReportIfDrained(TargetIndex target, Actions& actions);
  void FreeSettledSlots(base::Micros now, Actions& actions);

  RoutesPtr current;
  std::minstd_rand random;
  std::vector<RequestEntry> requests;
  std::vector<Index> free_requests;
  std::vector<ServiceEntry> services;
  std::vector<TargetEntry> targets;
  std::vector<TargetIndex> free_targets;
  std::vector<PoolEntry> pools;
  std::deque<SettlingSlot> settling;  // by time
  std::unordered_map<std::string, Index> service_by_name;
  std::unordered_map<std::string, Index> target_by_name;
  std::unordered_map<std::string, Index> pool_by_name;
  std::size_t open = 0;
  std::uint32_t generation = 0;
  base::Micros last_tick{};
};

}  // namespace quartzhoist::dispatch

#endif  // DISPATCH_DISPATCHER_H_
