// Decides which idle boxes return to the spare pool, whose boxes are switched
// off and free.

#ifndef SCHEDULER_IDLE_BOXES_H_
#define SCHEDULER_IDLE_BOXES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "jobs/worker_incarnation.h"

namespace quartzhoist::scheduler {

struct FleetPool;

// Whether idle boxes return to the spare pool, and boxes leave it for the need
// alone. Without a spare pool it makes no difference.
enum class IdleBoxPolicy {
  kNeverRest,
  kRestInLargeFleets,  // of kMinBoxesForRest
  kAlwaysRest,
};

// In fleets of 48 and 49 boxes, where a box is a large part of what a pool
// needs, no box-seconds were saved, and up to 0.002 less of the work was done
// in time.
inline constexpr std::size_t kMinBoxesForRest = 100;

// Share of the expected growth that counts where a box would have to be
// switched on for it although the pools cover the need of late. With any growth
// counted, boxes at rest come for noise in the arrivals, and a move costs more
// than a box-second.
inline constexpr double kSpareGrowthFraction = 0.0;

// Returns the pools with their expected demand at this fraction.
std::vector<FleetPool> ScaleGrowth(std::vector<FleetPool> pools,
                                   double fraction);

// History of the need for cores and of idle boxes. Pure state: each plan passes
// in what it sees.
class IdleBoxes {
 public:
  // A box that is idle and could be moved.
  struct Candidate {
    std::string name;
    std::string pool;
    jobs::WorkerIncarnation worker;
    double cores = 0.0;
  };

  // `need_cores`: cores that the pools need by the plan at `now`. The history
  // starts anew where plans were left out.
  void Observe(double need_cores,
               const std::vector<Candidate>& idle,
               base::Micros now);
  // The highest need of the last window.
  double HighestNeed() const;
  // Whether `pool_cores` are known to cover the needs of the last window, with
  // some margin.
  bool CoversNeed(double pool_cores, base::Micros now) const;
  // Selects boxes to be moved to the spare pool, the longest idle first.
  // `pool_cores`: cores in pools that are not spare. `surplus`: cores of each
  // pool beyond its allocation, which selected boxes are taken from. Empty
  // until a whole window has been observed.
  std::vector<std::string> Select(double pool_cores,
                                  std::map<std::string, double> surplus,
                                  base::Micros now) const;

 private:
  bool HasObservedWindow(base::Micros now) const;

  struct Need {
    base::Micros at{};
    double cores = 0.0;
  };
  struct Idle {
    Candidate box;
    base::Micros since{};
  };

  std::deque<Need> needs;  // of the last window, oldest first
  base::Micros observed_since{};
  base::Micros observed_at{};              // last
  std::map<std::string, Idle> idle_boxes;  // by name
};

}  // namespace quartzhoist::scheduler

#endif  // SCHEDULER_IDLE_BOXES_H_
