#include <algorithm>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "base/ini_file.h"
#include "table/cells.h"
#include "table/check.h"
#include "table/codec.h"
#include "table/edit.h"
#include "table/edit_json.h"
#include "table/snapshot.h"
#include "table/text.h"

namespace quartzhoist::table {
namespace {

Rows Read(const std::string& text) {
  std::istringstream in(text);
  return ReadText(in, "t");
}

std::string ErrorOf(const std::string& text) {
  try {
    Read(text);
  } catch (const base::TextError& error) {
    return error.what();
  }
  return "";
}

rc::Gen<Row> AnyRow() {
  return rc::gen::exec([] {
    const auto number = *rc::gen::inRange(1, 50);
    const auto name = "n" + std::to_string(number);
    PoolRow pool{.name = name,
                 .boxes = *rc::gen::inRange(0, 1000),
                 .wave = *rc::gen::inRange(0, 100),
                 .reserve = *rc::gen::element(Reserve::kNone, Reserve::kZone),
                 .pace = *rc::gen::inRange(0, 101)};
    ServiceRow service{
        .name = name,
        .pool = "p1",
        .urgency = *rc::gen::element(Urgency::kUrgent, Urgency::kPatient),
        .away = *rc::gen::inRange(0, 101),
        .repeat = *rc::gen::element(Repeat::kSafe, Repeat::kKeyed)};
    return *rc::gen::element<Row>(pool, service, TeamRow{.name = name});
  });
}

RC_BOOST_PROP(TextRoundTrips, ()) {
  Rows rows;
  for (const Row& row : *rc::gen::container<std::vector<Row>>(AnyRow()))
    rows.insert_or_assign(IdOf(row), row);
  RC_ASSERT(Read(WriteText(rows)) == rows);
}

RC_BOOST_PROP(StoredRowsRoundTrip, ()) {
  const Row row = *AnyRow();
  const StoredRow stored{.key = RowKey(IdOf(row)), .value = EncodeRow(row)};
  RC_ASSERT(DecodeRow(stored) == row);
}

RC_BOOST_PROP(AnyTableTextIsReadOrRefused, ()) {
  const auto text = *rc::gen::container<std::string>(
      rc::gen::element('p', 'o', 'l', '|', '\n', ' ', '1', '#', '%', '-'));
  ErrorOf("pool | boxes | wave\n" + text);
}

RC_BOOST_PROP(AnyStoredValueIsReadOrRefused, ()) {
  const auto value = *rc::gen::element<std::string>(
      "", "{", "[]", "null", "{\"boxes\":1}", "{\"boxes\":\"-1\"}",
      "{\"zone\":7}", "{\"away\":[1]}", "{\"away\":\"x\"}", "{\"state\":\"x\"}",
      "{\"slots\":-5}", "{\"slots\":99999999999999999999}", "\xff\xfe");
  const auto key = *rc::gen::element<std::string>(
      "table/pool/a", "table/x", "box/b", "wave/w", "nothing", "head/table");
  const Applied applied =
      Snapshot::Apply(Snapshot::Empty(),
                      {.after = 0, .upto = 1, .rows = {{key, 1, "w", value}}});
  RC_ASSERT(applied.fit == Fit::kApplied);
}

BOOST_AUTO_TEST_CASE(ErrorsNameFileLineAndCell) {
  const std::string head = "pool | boxes | wave\n";
  BOOST_TEST(ErrorOf(head + "a | x | 1") ==
             "t:2: pool/a.boxes: 'x' is not a whole number from 0 to 100000");
  BOOST_TEST(ErrorOf(head + "a | 1").starts_with("t:2: a: 2 cells"));
  BOOST_TEST(ErrorOf("a | 1").starts_with("t:1: a: a row before any header"));
  BOOST_TEST(ErrorOf("pool | hue\n").starts_with("t:1: hue: no such cell"));
  BOOST_TEST(ErrorOf(head + "a | 1 | 1\n\na | 1 | 1") ==
             "t:4: pool/a: the row stands twice");
  BOOST_TEST(ErrorOf(head + "A! | 1 | 1").find("is not a name") !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(ServiceWithoutPoolIsAFault) {
  const Rows rows = Read("service | pool\ns | nowhere\n");
  const std::vector<Fault> faults = Check(rows);
  BOOST_REQUIRE(faults.size() == 1);
  BOOST_TEST(faults[0].row == "service/s");
  BOOST_TEST(faults[0].cell == "pool");
}

// A history of commits, as the platform would number them.
std::vector<StoredRow> History() {
  std::vector<StoredRow> history;
  const int commits = *rc::gen::inRange(1, 30);
  for (int version = 1; version <= commits; ++version) {
    PoolRow pool{.name = "p" + std::to_string(*rc::gen::inRange(0, 4)),
                 .boxes = version};
    const bool erase = *rc::gen::inRange(0, 5) == 0;
    history.push_back({.key = RowKey(IdOf(pool)),
                       .version = static_cast<Version>(version),
                       .writer = "w",
                       .value = erase ? "" : EncodeRow(pool)});
  }
  return history;
}

// The platform's answer at `upto` to a follower that has `after`.
Delta DeltaOf(const std::vector<StoredRow>& history,
              Version after,
              Version upto) {
  std::map<std::string, StoredRow> latest;
  for (const StoredRow& row : history) {
    if (row.version <= upto)
      latest[row.key] = row;
  }
  Delta delta{.after = after, .upto = upto, .rows = {}};
  for (const auto& [key, row] : latest) {
    if (row.version > after)
      delta.rows.push_back(row);
  }
  return delta;
}

// Deltas that are stale, doubled, out of order or with gaps never take a
// follower back, and whatever revision it has, it has that revision's rows.
RC_BOOST_PROP(ConfigurationNeverReverts, ()) {
  const std::vector<StoredRow> history = History();
  const auto last = static_cast<int>(history.size());
  SnapshotPtr follower = Snapshot::Empty();
  for (int step = 0; step < 40; ++step) {
    const auto upto = static_cast<Version>(*rc::gen::inRange(0, last + 1));
    const auto after =
        static_cast<Version>(*rc::gen::inRange(0, static_cast<int>(upto) + 1));
    const Version before = follower->revision();
    follower =
        Snapshot::Apply(follower, DeltaOf(history, after, upto)).snapshot;
    RC_ASSERT(follower->revision() >= before);
    const SnapshotPtr expected =
        Snapshot::Apply(Snapshot::Empty(),
                        DeltaOf(history, 0, follower->revision()))
            .snapshot;
    RC_ASSERT(follower->rows() == expected->rows());
  }
}

// Not even a peer that claims to know more can bring an old row back.
BOOST_AUTO_TEST_CASE(OlderRowNeverReplacesANewer) {
  const auto pool = [](Version version) {
    const PoolRow row{.name = "p", .boxes = static_cast<std::int64_t>(version)};
    return StoredRow{RowKey("pool/p"), version, "w", EncodeRow(row)};
  };
  const SnapshotPtr known =
      Snapshot::Apply(Snapshot::Empty(), {.upto = 5, .rows = {pool(5)}})
          .snapshot;
  const SnapshotPtr after =
      Snapshot::Apply(known, {.after = 0, .upto = 9, .rows = {pool(3)}})
          .snapshot;
  BOOST_TEST(after->FindPool("p")->boxes == 5);
}

SnapshotPtr SnapshotOf(const std::string& text, Version version) {
  Delta delta{.after = 0, .upto = version, .rows = {}};
  for (const auto& [id, row] : Read(text))
    delta.rows.push_back({RowKey(id), version, "w", EncodeRow(row)});
  return Snapshot::Apply(Snapshot::Empty(), delta).snapshot;
}

BOOST_AUTO_TEST_CASE(SecondOfTwoEditsOfARowIsAConflictWithBothValues) {
  const SnapshotPtr snapshot = SnapshotOf("pool | boxes\np | 5\n", 7);
  const Edit late{.base = 6, .changes = {{"pool/p", {{"boxes", "9"}}}}};
  const EditOutcome outcome = ApplyEdit(*snapshot, late);
  const auto* conflict = std::get_if<EditConflict>(&outcome);
  BOOST_REQUIRE(conflict);
  BOOST_TEST(conflict->theirs.find("boxes=5") != std::string::npos);
  BOOST_TEST(conflict->yours.find("boxes=9") != std::string::npos);
  const Edit in_time{.base = 7, .changes = late.changes};
  BOOST_TEST(std::holds_alternative<Edited>(ApplyEdit(*snapshot, in_time)));
}

BOOST_AUTO_TEST_CASE(EditThatBreaksTheTableIsRefused) {
  const SnapshotPtr snapshot =
      SnapshotOf("pool | boxes\np | 5\n\nservice | pool\ns | p\n", 7);
  const Edit erase{.base = 7,
                   .changes = {{.row = "pool/p", .cells = {}, .erase = true}}};
  BOOST_TEST(
      std::holds_alternative<std::vector<Fault>>(ApplyEdit(*snapshot, erase)));
}

RC_BOOST_PROP(DifferenceMakesOneTableIntoTheOther, ()) {
  Rows before;
  Rows after;
  for (const Row& row : *rc::gen::container<std::vector<Row>>(AnyRow()))
    before.insert_or_assign(IdOf(row), row);
  for (const Row& row : *rc::gen::container<std::vector<Row>>(AnyRow()))
    after.insert_or_assign(IdOf(row), row);
  Delta delta{.after = 0, .upto = 1, .rows = {}};
  for (const auto& [id, row] : before)
    delta.rows.push_back({RowKey(id), 1, "w", EncodeRow(row)});
  const SnapshotPtr snapshot =
      Snapshot::Apply(Snapshot::Empty(), delta).snapshot;
  const Edit edit =
      DecodeEdit(EncodeEdit({.base = 1, .changes = Difference(before, after)}));
  const EditOutcome outcome = ApplyEdit(*snapshot, edit);
  // Generated services may name pools that are not there.
  if (const auto* edited = std::get_if<Edited>(&outcome))
    RC_ASSERT(edited->rows == after);
}

}  // namespace
}  // namespace quartzhoist::table
