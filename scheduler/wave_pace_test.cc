// Tests of the pace of maintenance waves.

#include <boost/test/unit_test.hpp>

#include "testing/fleet_replay.h"

namespace quartzhoist::scheduler {
namespace {

using std::chrono::seconds;

// Two pools that peak in turn, so that boxes are moved all the time.
double PeaksInTurn(int pool, base::Micros at) {
  return at / seconds(4) % 2 == pool ? 300.0 : 100.0;
}

// Guards against a wave whose boxes with long-running tasks, a third of all,
// are left at its end: only four of them are emptied at a time. With one slot
// in eight for them the wave takes 29 s.
BOOST_AUTO_TEST_CASE(WaveThatIsBehindBeginsMoreBoxesWithLongRunningTasks) {
  testing::FleetReplay replay(2, 60, false, false);
  replay.RunUntil(seconds(103), PeaksInTurn);
  const int calls = replay.calls;
  replay.BeginWave(8, seconds(25));
  replay.RunUntil(seconds(103 + 25), PeaksInTurn);
  BOOST_TEST(replay.CountLeftInWave() <= 2);
  replay.RunUntil(seconds(103 + 27), PeaksInTurn);
  BOOST_TEST(replay.CountLeftInWave() == 0);
  BOOST_TEST(replay.calls > calls);
  BOOST_TEST(replay.violations.empty());
}

}  // namespace
}  // namespace quartzhoist::scheduler
