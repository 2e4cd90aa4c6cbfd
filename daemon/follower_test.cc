// A follower that learns from a peer over a link that loses, doubles and
// reorders datagrams.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "daemon/follower.h"
#include "table/codec.h"

namespace quartzhoist::daemon {
namespace {

using base::Micros;
using table::Version;

// A daemon's follower whose platform is out of reach.
struct Peer {
  explicit Peer(base::Loop& loop)
      : platform(loop, counters, "127.0.0.1:1"),
        follower(platform,
                 counters,
                 {.installed = [](const table::Delta&, bool) {},
                  .send =
                      [this](const std::string&, const peer::Body& body) {
                        this->sent.push_back(std::get<peer::Pull>(body));
                      }}) {}

  base::Counters counters;
  platform::Client platform;
  std::vector<peer::Pull> sent;
  Follower follower;
};

table::Delta BigDelta(Version after, Version upto, int rows) {
  table::Delta delta{.after = after, .upto = upto, .rows = {}};
  for (int i = 0; i < rows; ++i) {
    const table::PoolRow pool{.name = "p" + std::to_string(i),
                              .boxes = static_cast<std::int64_t>(upto)};
    const Version version =
        after + 1 + static_cast<Version>(i) % (upto - after);
    delta.rows.push_back({table::RowKey(table::IdOf(table::Row(pool))), version,
                          "w", table::EncodeRow(pool)});
  }
  return delta;
}

RC_BOOST_PROP(LossyLinkNeverShowsHalfATable, ()) {
  base::Loop loop;
  Peer source(loop);
  Peer learner(loop);
  Micros now = std::chrono::seconds(1);
  const int rows = *rc::gen::inRange(1, 300);
  for (const peer::DeltaPart& part : peer::Split(BigDelta(0, 400, rows)))
    source.follower.TakePart("seed", part, now);
  const table::SnapshotPtr& whole = source.follower.current();
  RC_ASSERT(whole->rows().size() == static_cast<std::size_t>(rows));
  const int loss_percent = *rc::gen::inRange(0, 40);
  for (int round = 0; round < 200; ++round) {
    now += std::chrono::milliseconds(400);
    learner.follower.NoteRevision("source", whole->revision(), now);
    for (const peer::Pull& pull : std::exchange(learner.sent, {})) {
      std::vector<peer::DeltaPart> parts = source.follower.AnswerPull(pull);
      if (*rc::gen::inRange(0, 4) == 0 && parts.size() > 1)
        std::swap(parts.front(), parts.back());
      for (const peer::DeltaPart& part : parts) {
        if (*rc::gen::inRange(0, 100) < loss_percent)
          continue;
        learner.follower.TakePart("source", part, now);
        const table::SnapshotPtr& seen = learner.follower.current();
        RC_ASSERT(seen->revision() == 0 || seen->rows() == whole->rows());
      }
    }
    if (learner.follower.current()->revision() == whole->revision())
      return;
  }
  RC_FAIL("the table did not arrive");
}

BOOST_AUTO_TEST_CASE(StalePeerChangesNothing) {
  base::Loop loop;
  Peer daemon(loop);
  const Micros now = std::chrono::seconds(1);
  for (const peer::DeltaPart& part : peer::Split(BigDelta(0, 9, 3)))
    daemon.follower.TakePart("a", part, now);
  const table::SnapshotPtr before = daemon.follower.current();
  for (const peer::DeltaPart& part : peer::Split(BigDelta(0, 5, 3)))
    daemon.follower.TakePart("b", part, now);
  daemon.follower.NoteRevision("b", 5, now);
  BOOST_TEST(daemon.follower.current() == before);
  BOOST_TEST(daemon.sent.empty());
}

}  // namespace
}  // namespace quartzhoist::daemon
