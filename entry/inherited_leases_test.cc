// Tests of the bounds on leases that earlier owners granted.

#include <chrono>
#include <optional>

#include <boost/test/unit_test.hpp>

#include "entry/inherited_leases.h"

namespace quartzhoist::entry {
namespace {

using std::chrono::seconds;

constexpr base::Micros kConfirmed = seconds(100);
constexpr GrantBounds kBounds{.after_confirmation = seconds(10),
                              .longest_grant = seconds(4)};

LeaseHolder Holder(bool held) {
  LeaseHolder holder;
  holder.held = held;
  return holder;
}

// Guards against a task that is started elsewhere while its worker runs it
// under the lease of an owner that is only cut off from the store.
BOOST_AUTO_TEST_CASE(LeasesOfAnOwnerThatMayLiveAreBoundedByItsConfirmation) {
  const EarlierOwners earlier{.confirmed = kConfirmed, .writer_ended = {}};
  BOOST_CHECK(InheritedLeaseEnd(Holder(true), seconds(102), earlier, kBounds) ==
              seconds(110));
  BOOST_CHECK(InheritedLeaseEnd(Holder(false), seconds(102), earlier,
                                kBounds) == seconds(102));
  BOOST_CHECK(InheritedLeaseEnd(Holder(false), std::nullopt, earlier,
                                kBounds) == seconds(110));
}

// Guards against the same for a worker that the owner which ended had not
// reached: its lease is that of an owner before it.
BOOST_AUTO_TEST_CASE(EndOfAnOwnerBoundsOnlyWhatItHeld) {
  const EarlierOwners earlier{.confirmed = kConfirmed,
                              .writer_ended = seconds(101)};
  BOOST_CHECK(InheritedLeaseEnd(Holder(true), seconds(102), earlier, kBounds) ==
              seconds(105));
  BOOST_CHECK(InheritedLeaseEnd(Holder(false), seconds(108), earlier,
                                kBounds) == seconds(108));
  BOOST_CHECK(InheritedLeaseEnd(Holder(false), std::nullopt, earlier,
                                kBounds) == seconds(110));
}

// Guards against the same for a worker that had a longer lease when it first
// answered the owner which ended.
BOOST_AUTO_TEST_CASE(LongerLeaseThatTheEndedOwnerKnewOfIsWaitedOut) {
  const EarlierOwners earlier{.confirmed = kConfirmed,
                              .writer_ended = seconds(101)};
  BOOST_CHECK(InheritedLeaseEnd(Holder(true), seconds(107), earlier, kBounds) ==
              seconds(107));
  // A row of an earlier version does not tell.
  BOOST_CHECK(InheritedLeaseEnd(Holder(true), std::nullopt, earlier, kBounds) ==
              seconds(110));
}

// Guards against two runs of one task: a daemon that takes the place of another
// under its id took it for ended, while it was cut off and renewed its leases.
BOOST_AUTO_TEST_CASE(DaemonAtAnotherAddressIsAnotherWriter) {
  Settings replaced;
  replaced.id = "entry-1";
  replaced.callers_address = "10.1.0.9:80";
  Settings successor = replaced;
  BOOST_TEST(LeaseWriterOf(successor) == LeaseWriterOf(replaced));
  successor.callers_address = "10.1.0.10:80";
  BOOST_TEST(LeaseWriterOf(successor) != LeaseWriterOf(replaced));
}

}  // namespace
}  // namespace quartzhoist::entry
