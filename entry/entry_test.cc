// Settings, rows, ownership and the callers' interface of an entry box.

#include <algorithm>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "base/ini_file.h"
#include "entry/caller_api.h"
#include "entry/owner_lease.h"
#include "entry/ownership.h"
#include "entry/save_queue.h"
#include "entry/settings.h"
#include "entry/tables.h"
#include "http/client.h"
#include "http/server.h"
#include "jobs/progress.h"
#include "platform/records.h"
#include "testing/store_standin.h"

namespace quartzhoist::entry {
namespace {

using testing::StoreStandin;

constexpr const char* kGoodSettings = R"([daemon]
id = edge-1
zone = hall-1
[listen]
callers = 10.0.0.1:80
readiness = 10.0.0.1:81
metrics =
[store]
address = 10.0.0.9:80
[limits]
longest_lease_ms = 10000
move_seconds = 1.5
)";

std::string WhyRefused(const std::string& text) {
  std::istringstream in(text);
  try {
    static_cast<void>(ReadSettings(in, "f.ini"));
  } catch (const base::TextError& error) {
    return error.what();
  }
  return "";
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kGoodSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

BOOST_AUTO_TEST_CASE(SettingsAreRead) {
  std::istringstream in(kGoodSettings);
  const Settings settings = ReadSettings(in, "f.ini");
  BOOST_TEST(settings.id == "edge-1");
  BOOST_TEST(settings.metrics.empty());
  BOOST_TEST(settings.longest_lease.count() == 10'000'000);
  BOOST_TEST(settings.move_time.count() == 1'500'000);
}

BOOST_AUTO_TEST_CASE(WhatTheSettingsLeaveOutIsReadCautiously) {
  std::istringstream in(kGoodSettings);
  const platform::Deployment can = ReadSettings(in, "f.ini").deployment;
  BOOST_TEST(!can.writes_span_parts);
  BOOST_TEST(!can.epochs_checked);
  std::istringstream rich(Replaced(
      "address = 10.0.0.9:80",
      "address = 10.0.0.9:80\nwrites_span_parts = true\nrow_bytes = 70000"));
  const platform::Deployment more = ReadSettings(rich, "f.ini").deployment;
  BOOST_TEST(more.writes_span_parts);
  BOOST_TEST(more.row_bytes == 70'000U);
  BOOST_TEST(WhyRefused(Replaced("[limits]", "[boxes]\nepochs_checked = maybe"))
                 .find("f.ini:11: [boxes] epochs_checked") == 0U);
}

BOOST_AUTO_TEST_CASE(BadSettingsNameFileLineAndKey) {
  BOOST_TEST(WhyRefused(Replaced("zone = hall-1", "zoen = hall-1"))
                 .find("f.ini:3: [daemon] zoen") == 0U);
  BOOST_TEST(WhyRefused(Replaced("10.0.0.1:80", "nowhere"))
                 .find("f.ini:5: [listen] callers") == 0U);
  BOOST_TEST(WhyRefused(Replaced("10000", "-1"))
                 .find("f.ini:11: [limits] longest_lease_ms") == 0U);
  BOOST_TEST(WhyRefused(Replaced("move_seconds = 1.5", "move_seconds = x"))
                 .find("[limits] move_seconds") != std::string::npos);
  BOOST_TEST(WhyRefused(Replaced("id = edge-1\n", ""))
                 .find("[daemon] id: the key is missing") != std::string::npos);
}

// Each key of the template the platform fills is one that the daemon reads.
BOOST_AUTO_TEST_CASE(EveryKeyOfTheTemplateIsKnown) {
  std::ifstream file(std::string(QUARTZHOIST_SOURCE_DIR) +
                     "/deploy/quartzhoistd.ini");
  std::string filled;
  for (std::string line; std::getline(file, line);) {
    const std::size_t gap = line.find("{{");
    const std::string key = line.substr(0, line.find(' '));
    if (gap != std::string::npos)
      line = key + " = " +
             (key == "id" || key == "zone" ? "x"
              : key == "cores"             ? "0.5"
              : key.ends_with("_ms")       ? "1000"
              : key.ends_with("_bytes")    ? "65536"
              : key.ends_with("_parts")    ? "true"
              : key.ends_with("_checked")  ? "false"
              : key.ends_with("_seconds")  ? "2"
                                           : "10.0.0.1:80");
    filled += line + "\n";
  }
  BOOST_TEST(WhyRefused(filled) == "");
}

BOOST_AUTO_TEST_CASE(RowsAreReadAsTheyWereWritten) {
  AcceptedJob job;
  job.queue.name = "q";
  job.queue.service = "s";
  job.queue.priority = 1;
  job.queue.attempts = 4;
  job.queue.extension = 1.6;
  job.accepted_ms = 99;
  job.body = R"({"steps":[{}]})";
  const auto read = DecodeAccepted(EncodeAccepted(job));
  BOOST_REQUIRE(read.has_value());
  BOOST_CHECK(read->queue == job.queue);
  BOOST_TEST(read->body == job.body);
  BOOST_TEST(!DecodeAccepted("{}").has_value());
  BOOST_TEST(!DecodeOwner("[]").has_value());
  BOOST_TEST(!DecodeLeases("7").has_value());
  BOOST_TEST(ParseJobKey(CancelRow("abc").key).is_cancel);
  BOOST_TEST(ParseJobKey(CancelRow("abc").key).job == "abc");
  BOOST_TEST(!ParseJobKey(JobRow("abc").key).is_cancel);
  BOOST_TEST(CountOf(EncodeCounts({{"q", 7}}), "q") == 7);
  BOOST_TEST(CountOf("nonsense", "q") == 0);
}

// --- Ownership ---

struct Member {
  Member(base::Loop& loop,
         platform::Store& store,
         const std::string& id,
         double cores = 0.25)
      : ownership(
            loop,
            store,
            id,
            cores,
            std::hash<std::string>()(id),
            {.on_gained = [this](std::uint64_t gained,
                                 base::Micros) { this->epoch = gained; },
             .on_lost = [this] { ++this->losses; },
             .on_confirmed = [this](base::Micros) { ++this->confirmations; },
             .on_store_answered = [] {},
             .on_store_silent = [] {}}) {}

  std::uint64_t epoch = 0;
  int losses = 0;
  int confirmations = 0;
  Ownership ownership;
};

struct OwnerBench {
  base::Loop loop;
  base::Counters counters;
  StoreStandin standin{loop};
  http::Client client{loop};
  platform::Store store{client, standin.address(), platform::Deployment{},
                        counters};

  void Until(const std::function<bool()>& holds) {
    while (!holds())
      this->loop.RunOnce();
  }
};

BOOST_AUTO_TEST_CASE(OneOfSeveralOwnsAndConfirms) {
  OwnerBench bench;
  Member a(bench.loop, bench.store, "a");
  Member b(bench.loop, bench.store, "b");
  Member c(bench.loop, bench.store, "c");
  bench.Until(
      [&] { return a.confirmations + b.confirmations + c.confirmations >= 3; });
  BOOST_TEST(a.ownership.holds() + b.ownership.holds() + c.ownership.holds() ==
             1);
  BOOST_TEST(a.epoch + b.epoch + c.epoch == 1U);
}

BOOST_AUTO_TEST_CASE(GivenUpOwnershipPassesUnderAHigherEpoch) {
  OwnerBench bench;
  Member a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  Member b(bench.loop, bench.store, "b");
  a.ownership.Release();
  bench.Until([&] { return b.ownership.holds(); });
  BOOST_TEST(b.epoch == 2U);
  BOOST_TEST(!a.ownership.holds());
}

BOOST_AUTO_TEST_CASE(SilentOwnerIsTakenOver) {
  OwnerBench bench;
  // A holder that confirms nothing.
  bench.standin.Put(
      OwnerRow(),
      EncodeOwner(
          {.holder = "dead", .incarnation = "1", .epoch = 7, .beat = 3}));
  Member a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 8U);
}

BOOST_AUTO_TEST_CASE(OwnerThatIsReplacedLearnsIt) {
  OwnerBench bench;
  Member a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  bench.standin.Put(
      OwnerRow(),
      EncodeOwner(
          {.holder = "other", .incarnation = "1", .epoch = 2, .beat = 0}));
  bench.Until([&] { return a.losses == 1; });
  BOOST_TEST(!a.ownership.holds());
}

BOOST_AUTO_TEST_CASE(LostAnswerOfATakeoverIsSettledByTheRow) {
  OwnerBench bench;
  Member a(bench.loop, bench.store, "a");
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 1U);
}

BOOST_AUTO_TEST_CASE(StrongerBoxRelievesAWeakerOne) {
  OwnerBench bench;
  Member weak(bench.loop, bench.store, "weak", 0.1);
  bench.Until([&] { return weak.ownership.holds(); });
  Member equal(bench.loop, bench.store, "equal", 0.12);
  Member strong(bench.loop, bench.store, "strong", 0.5);
  bench.Until([&] { return strong.ownership.holds(); });
  bench.Until([&] { return weak.losses == 1; });
  BOOST_TEST(strong.epoch == 2U);
  BOOST_TEST(equal.epoch == 0U);
}

// Each write is made and not answered; the next finds the row as it left it.
BOOST_AUTO_TEST_CASE(OwnerIsConfirmedThoughEveryAnswerIsLost) {
  OwnerBench bench;
  Member a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.confirmations >= 1; });
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  const int confirmed = a.confirmations;
  const int written = bench.standin.writes();
  bench.Until([&] {
    return a.confirmations > confirmed + 2 ||
           bench.standin.writes() > written + 12;
  });
  BOOST_TEST(a.confirmations > confirmed + 2);
  BOOST_TEST(a.epoch == 1U);
}

// A write that was made before the loss shows up after it.
BOOST_AUTO_TEST_CASE(OldRowDoesNotBringALostEpochBack) {
  OwnerBench bench;
  Member a(bench.loop, bench.store, "a");
  bench.Until([&] { return a.ownership.holds(); });
  const platform::RowKey row = OwnerRow();
  a.ownership.Fenced();
  bench.standin.Put(row, bench.standin.Value(row));
  bench.Until([&] { return a.ownership.holds(); });
  BOOST_TEST(a.epoch == 2U);
}

// --- When the holder must stop ---

constexpr base::Micros kSilence = std::chrono::milliseconds(1300);

struct Confirmation {
  std::uint64_t beat = 0;
  base::Micros asked{};
  bool is_made = false;
  base::Micros made{};  // when the row holds it, if it is made
};

// A holder whose confirmations are answered, lost, refused, or made late; the
// others count the silence from when the row last changed.
RC_BOOST_PROP(HolderStopsBeforeAnotherMayTakeOver, ()) {
  OwnerLease lease;
  base::Micros now = std::chrono::seconds(10);
  base::Micros last_change = now;
  std::uint64_t beat = 0;
  std::vector<Confirmation> open;
  const int steps = *rc::gen::inRange(1, 40);
  for (int i = 0; i < steps; ++i) {
    now += std::chrono::milliseconds(*rc::gen::inRange(0, 900));
    lease.Asked(1, beat, now, kSilence);
    const int fate = *rc::gen::inRange(0, 4);
    const base::Micros made =
        now + std::chrono::milliseconds(*rc::gen::inRange(1, 500));
    if (fate == 0) {  // refused
      lease.NotMade(1, beat);
      continue;
    }
    const bool is_made = fate != 1;
    open.push_back(
        {.beat = beat, .asked = now, .is_made = is_made, .made = made});
    // The row's first try of a beat that is made counts; later ones find it.
    if (!is_made)
      continue;
    const auto first =
        std::find_if(open.begin(), open.end(), [&](const Confirmation& one) {
          return one.beat == beat && one.is_made;
        });
    last_change = std::max(last_change, first->made);
    if (fate == 3)  // its answer is lost
      continue;
    now = std::max(now, made);
    lease.Made(1, beat);
    ++beat;
    // What has not been made by then never is: its condition fails.
    RC_ASSERT(lease.orders_until() < last_change + kSilence);
  }
}

BOOST_AUTO_TEST_CASE(HolderWithoutAConfirmationOrdersNothing) {
  OwnerLease lease;
  const base::Micros now = std::chrono::seconds(5);
  lease.Asked(3, 0, now, kSilence);
  BOOST_TEST(lease.orders_until().count() == 0);
  // Another try of the same beat extends nothing: the first may be the one that
  // was made.
  lease.Asked(3, 0, now + std::chrono::seconds(1), kSilence);
  lease.Made(3, 0);
  BOOST_CHECK(lease.orders_until() > now);
  BOOST_CHECK(lease.orders_until() < now + kSilence);
  // Nor does a beat of another epoch.
  lease.Made(4, 0);
  BOOST_CHECK(lease.orders_until() < now + kSilence);
}

// --- Callers ---

struct CallerBench : OwnerBench {
  CallerBench() {
    jobs::Config config;
    jobs::Queue queue;
    queue.name = "q";
    queue.host = "h.example";
    queue.path_prefix = "/p/";
    queue.service = "s";
    config.queues.push_back(queue);
    this->api.SetConfig(config);
  }

  http::Response Call(const std::string& method,
                      const std::string& path,
                      const std::string& body = "",
                      const std::string& host = "h.example",
                      const std::string& patience = "2000") {
    std::optional<http::Response> response;
    http::ClientRequest request;
    request.method = method;
    request.url =
        "http://127.0.0.1:" + std::to_string(this->server.port()) + path;
    request.headers = {{.name = "Host", .value = host},
                       {.name = "Deadline-Ms", .value = patience}};
    request.body = body;
    request.timeout = std::chrono::seconds(20);
    this->client.Send(std::move(request), [&](const http::ClientResult& got) {
      response = got.response;
    });
    this->Until([&] { return response.has_value(); });
    return *response;
  }

  // Nothing follows the operators' table here.
  void WaitUntilTheViewIsOld() {
    const base::Micros until =
        base::MonotonicNow() + platform::Deployment{}.config_in_force;
    this->Until([until] { return base::MonotonicNow() > until; });
  }

  CallerApi api{this->loop, this->store, this->counters,
                [this](const platform::Row& row) {
                  this->api.SetConfig(platform::ParseConfig(row.value));
                }};
  http::Server server{this->loop,
                      {},
                      [this](const http::ExchangePtr& exchange) {
                        this->api.Handle(exchange);
                      }};
};

constexpr const char* kJob = "/p/5c0e7a21d94b36f8";
constexpr const char* kId = "5c0e7a21d94b36f8";
constexpr const char* kBody = R"({"spec":"t","steps":[{"count":2}]})";

BOOST_AUTO_TEST_CASE(AcceptedJobIsKeptOnce) {
  CallerBench bench;
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).size() == 1U);
  BOOST_TEST(bench.Call("GET", kJob).body.find("queued") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(JobWhoseWriteGotNoAnswerIsAccepted) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kLosesAnswers);
  // The write is tried again under its condition and finds itself.
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).size() == 1U);
}

BOOST_AUTO_TEST_CASE(RefusalIsAtOnceAndTellsWhenToComeBack) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  const http::Response response = bench.Call("POST", kJob, kBody);
  BOOST_TEST(response.status == 503);
  BOOST_TEST(http::FindHeader(response.headers, "Retry-After"));
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
}

BOOST_AUTO_TEST_CASE(JobOfUnknownFateIsNeverCalledRefused) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kSilent);
  const http::Response response =
      bench.Call("POST", kJob, kBody, "h.example", "1200");
  BOOST_TEST(response.status == 504);
}

// Tries are spaced out, ever wider: 60, 120, 240, 480 ms.
BOOST_AUTO_TEST_CASE(JobOfUnknownFateIsNotWrittenInALoop) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kCuts);
  const http::Response response =
      bench.Call("POST", kJob, kBody, "h.example", "1200");
  BOOST_TEST(response.status == 504);
  BOOST_TEST(bench.standin.writes() <= 8);
}

// Writes are cut one after the other: the caller hears long before its patience
// ends, and the next one is not even tried.
BOOST_AUTO_TEST_CASE(CallersOfADaemonThatTheStoreTurnsAwayAreToldAtOnce) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kCuts);
  BOOST_TEST(bench.Call("POST", kJob, kBody, "h.example", "30000").status ==
             504);
  const int written = bench.standin.writes();
  BOOST_TEST(written <= 6);
  BOOST_TEST(bench.Call("POST", "/p/0000000000000001", kBody).status == 503);
  BOOST_TEST(bench.Call("GET", kJob).status == 503);
  BOOST_TEST(bench.standin.writes() == written);
}

BOOST_AUTO_TEST_CASE(JobThatNoRowCanHoldIsRefusedAtOnce) {
  CallerBench bench;
  const std::string step =
      R"({"count":1,"requirements":")" + std::string(200, 'x') + R"("})";
  std::string steps = step;
  for (int i = 0; i < 60; ++i)
    steps += "," + step;
  const std::string body = R"({"spec":"t","steps":[)" + steps + "]}";
  BOOST_TEST(bench.Call("POST", kJob, body).status == 413);
  BOOST_TEST(bench.standin.writes() == 0);
}

scheduler::SaveProgress SaveOf(const std::string& job) {
  return {.job = job, .text = "t", .version = 1, .change = 1, .over = false};
}

BOOST_AUTO_TEST_CASE(SavesOfOnePartGoTogetherAndOneAtATime) {
  SaveQueue queue;
  for (int i = 0; i < 200; ++i)
    queue.Add(SaveOf(std::to_string(i)));
  std::set<std::string> busy;
  std::size_t taken = 0;
  std::vector<std::vector<scheduler::SaveProgress>> writes;
  while (true) {
    std::vector<scheduler::SaveProgress> batch = queue.Take(true);
    if (batch.empty())
      break;
    const std::string part = ProgressRow(batch.front().job).part;
    BOOST_TEST(busy.insert(part).second);
    for (const scheduler::SaveProgress& save : batch)
      BOOST_TEST(ProgressRow(save.job).part == part);
    taken += batch.size();
    writes.push_back(std::move(batch));
  }
  BOOST_TEST(taken == 200U);
  BOOST_TEST(queue.empty());
  // What comes for a part with a write on its way waits for its answer.
  queue.Add(SaveOf("0"));
  BOOST_TEST(queue.Take(true).empty());
  for (const auto& batch : writes)
    queue.Settled(batch);
  BOOST_TEST(queue.Take(true).size() == 1U);
}

BOOST_AUTO_TEST_CASE(SavesOfManyPartsShareAWrite) {
  SaveQueue queue;
  for (int i = 0; i < 120; ++i)
    queue.Add(SaveOf(std::to_string(i)));
  BOOST_TEST(queue.Take(false).size() == 50U);  // 100 entries
  BOOST_TEST(queue.Take(false).size() == 50U);
  BOOST_TEST(queue.Take(false).size() == 20U);
  BOOST_TEST(queue.empty());
}

BOOST_AUTO_TEST_CASE(SaveWhoseWriteWasRefusedGoesAlone) {
  SaveQueue queue;
  queue.Add(SaveOf("1"));
  queue.AddAlone(SaveOf("2"));
  const std::vector<scheduler::SaveProgress> first = queue.Take(false);
  BOOST_TEST(first.size() == 1U);
  BOOST_TEST(first.front().job == "2");
}

// A job whose write is on its way when the process ends may yet be taken.
BOOST_AUTO_TEST_CASE(JobInFlightAtTheEndIsNotCalledRefused) {
  CallerBench bench;
  bench.standin.SetMood(StoreStandin::Mood::kSilent);
  std::optional<int> status;
  bench.client.Send(
      {.method = "POST",
       .url = "http://127.0.0.1:" + std::to_string(bench.server.port()) + kJob,
       .headers = {{.name = "Host", .value = "h.example"}},
       .body = kBody},
      [&](const http::ClientResult& got) { status = got.response.status; });
  bench.Until([&] { return bench.server.open_exchanges() == 1; });
  bench.api.End();
  bench.Until([&] { return status.has_value(); });
  BOOST_TEST(*status == 504);
}

BOOST_AUTO_TEST_CASE(CancelIsKeptAndUnknownJobsAreGone) {
  CallerBench bench;
  BOOST_TEST(bench.Call("DELETE", kJob).status == 410);
  BOOST_TEST(bench.Call("GET", kJob).status == 410);
  bench.Call("POST", kJob, kBody);
  BOOST_TEST(bench.Call("DELETE", kJob).status == 200);
  BOOST_TEST(bench.standin.Value(CancelRow(kId)) == "1");
}

BOOST_AUTO_TEST_CASE(StateThatCannotBeReadIsNotGuessed) {
  CallerBench bench;
  bench.Call("POST", kJob, kBody);
  bench.standin.Put(ProgressRow(kId), "nonsense");
  BOOST_TEST(bench.Call("GET", kJob).status == 503);
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Call("GET", kJob).status == 503);
}

BOOST_AUTO_TEST_CASE(BadRequestsGetAClearAnswer) {
  CallerBench bench;
  BOOST_TEST(bench.Call("POST", kJob, "{").status == 400);
  BOOST_TEST(bench.Call("POST", "/p/short", kBody).status == 400);
  BOOST_TEST(bench.Call("POST", kJob, kBody, "other.example").status == 404);
  BOOST_TEST(bench.Call("POST", "/elsewhere", kBody).status == 404);
  BOOST_TEST(bench.Call("PATCH", kJob, kBody).status == 405);
  const std::string long_body(300'000, ' ');
  BOOST_TEST(bench.Call("POST", kJob, long_body).status == 413);
  BOOST_TEST(bench.standin.Table(std::string(kJobTable)).empty());
}

// A job that is over has no row of its own any more, only its progress.
BOOST_AUTO_TEST_CASE(JobThatIsOverIsNotTakenAgain) {
  CallerBench bench;
  jobs::Progress progress;
  progress.state = jobs::JobState::kCompleted;
  bench.standin.Put(ProgressRow(kId), jobs::EncodeProgress(progress));
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 200);
  BOOST_TEST(bench.standin.Value(JobRow(kId)).empty());
  BOOST_TEST(bench.Call("GET", kJob).body == R"({"state":"completed"})");
}

const platform::RowKey kConfigRow{
    .table = std::string(platform::kOperatorTable),
    .part = "",
    .key = std::string(platform::kConfigKey)};

// The feed has fallen silent: a change has not come.
BOOST_AUTO_TEST_CASE(UnknownQueueIsLookedForInTheStoreBeforeItIsRefused) {
  CallerBench bench;
  bench.standin.Put(
      kConfigRow,
      R"({"version":2,"routes":[{"name":"n","host":"new.example",)"
      R"("pathPrefix":"/n/","service":"s"}],"services":[{"name":"s"}]})");
  bench.WaitUntilTheViewIsOld();
  constexpr const char* kNewJob = "/n/5c0e7a21d94b36f8";
  BOOST_TEST(bench.Call("POST", kNewJob, kBody, "new.example").status == 200);
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 404);
}

BOOST_AUTO_TEST_CASE(DroppedQueueIsNotServedByAnOldView) {
  CallerBench bench;
  bench.standin.Put(kConfigRow, R"({"version":2,"routes":[],"services":[]})");
  bench.WaitUntilTheViewIsOld();
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 404);
}

BOOST_AUTO_TEST_CASE(OldViewThatTheStoreDoesNotRenewDecidesNothing) {
  CallerBench bench;
  bench.WaitUntilTheViewIsOld();
  bench.standin.SetMood(StoreStandin::Mood::kBusy);
  BOOST_TEST(bench.Call("POST", "/elsewhere", kBody).status == 503);
  BOOST_TEST(bench.Call("POST", kJob, kBody).status == 503);
}

BOOST_AUTO_TEST_CASE(CountsComeFromTheStore) {
  CallerBench bench;
  BOOST_TEST(bench.Call("GET", "/p/").body == R"({"pending":0})");
  bench.standin.Put(SmallRow(kCountTable, kCountKey),
                    EncodeCounts({{"q", 12}}));
  BOOST_TEST(bench.Call("GET", "/p/").body == R"({"pending":12})");
}

BOOST_AUTO_TEST_CASE(WithoutAConfigurationNothingIsTaken) {
  OwnerBench bench;
  CallerApi api(bench.loop, bench.store, bench.counters,
                [](const platform::Row&) {});
  http::Server server(bench.loop, {}, [&](const http::ExchangePtr& exchange) {
    api.Handle(exchange);
  });
  std::optional<int> status;
  bench.client.Send(
      {.method = "POST",
       .url = "http://127.0.0.1:" + std::to_string(server.port()) + kJob,
       .body = kBody},
      [&](const http::ClientResult& got) { status = got.response.status; });
  bench.Until([&] { return status.has_value(); });
  BOOST_TEST(*status == 503);
}

}  // namespace
}  // namespace quartzhoist::entry
