// Tests of the settings and of the row encodings.

#include <cstddef>
#include <fstream>
#include <map>
#include <sstream>
#include <string>

#include <boost/test/unit_test.hpp>

#include "base/ini_file.h"
#include "entry/settings.h"
#include "entry/tables.h"

namespace quartzhoist::entry {
namespace {

constexpr const char* kValidSettings = R"([daemon]
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

std::string ParseError(const std::string& text) {
  std::istringstream in(text);
  try {
    static_cast<void>(ReadSettings(in, "f.ini"));
  } catch (const base::TextError& error) {
    return error.what();
  }
  return "";
}

std::string WithReplacement(const std::string& from, const std::string& to) {
  std::string text = kValidSettings;
  text.replace(text.find(from), from.size(), to);
  return text;
}

BOOST_AUTO_TEST_CASE(ReadsValidSettings) {
  std::istringstream in(kValidSettings);
  const Settings settings = ReadSettings(in, "f.ini");
  BOOST_TEST(settings.id == "edge-1");
  BOOST_TEST(settings.metrics_address.empty());
  BOOST_TEST(settings.max_lease.count() == 10'000'000);
  BOOST_TEST(settings.move_duration.count() == 1'500'000);
}

BOOST_AUTO_TEST_CASE(OmittedDeploymentKeysHaveConservativeDefaults) {
  std::istringstream in(kValidSettings);
  const platform::Deployment defaults = ReadSettings(in, "f.ini").deployment;
  BOOST_TEST(!defaults.writes_span_parts);
  BOOST_TEST(!defaults.epochs_checked);
  std::istringstream with_store_keys(WithReplacement(
      "address = 10.0.0.9:80",
      "address = 10.0.0.9:80\nwrites_span_parts = true\nrow_bytes = 70000"));
  const platform::Deployment deployment =
      ReadSettings(with_store_keys, "f.ini").deployment;
  BOOST_TEST(deployment.writes_span_parts);
  BOOST_TEST(deployment.row_bytes == 70'000U);
  BOOST_TEST(
      ParseError(WithReplacement("[limits]", "[boxes]\nepochs_checked = maybe"))
          .find("f.ini:11: [boxes] epochs_checked") == 0U);
}

BOOST_AUTO_TEST_CASE(LimitsOfClientsAreReadAndChecked) {
  std::istringstream in(WithReplacement(
      "[limits]",
      "[limits]\nmax_connections = 9\nmax_body_bytes = 2048\n"
      "request_bytes = 10000000\nanswer_bytes = 20000000\n"
      "transfer_seconds = 2.5\nidle_seconds = 7\nstore_connections = 300\n"
      "monitoring_connections = 9\nmonitoring_bytes = 2000000"));
  const Settings settings = ReadSettings(in, "f.ini");
  BOOST_TEST(settings.caller_limits.connections == 9U);
  BOOST_TEST(settings.max_body == 2048U);
  BOOST_TEST(settings.caller_limits.held_bytes == 10'000'000U);
  BOOST_TEST(settings.max_answers == 20'000'000U);
  BOOST_TEST(settings.caller_limits.transfer_time.count() == 2'500'000);
  BOOST_TEST(settings.caller_limits.idle_time.count() == 7'000'000);
  BOOST_TEST(settings.max_store_connections == 300);
  BOOST_TEST(settings.max_monitoring_connections == 9U);
  BOOST_TEST(settings.max_monitoring_bytes == 2'000'000U);
  for (const char* line :
       {"max_connections = 7", "max_body_bytes = 1023",
        "max_body_bytes = 4194305", "request_bytes = 9999999",
        "answer_bytes = 19999999", "store_connections = 255",
        "monitoring_connections = 7", "monitoring_bytes = 999999",
        "transfer_seconds = 0", "idle_seconds = x"}) {
    const std::string key(line, std::string_view(line).find(' '));
    BOOST_TEST(ParseError(WithReplacement("[limits]",
                                          std::string("[limits]\n") + line))
                       .find("f.ini:11: [limits] " + key) == 0U,
               line);
  }
}

BOOST_AUTO_TEST_CASE(ErrorsNameFileLineAndKey) {
  BOOST_TEST(ParseError(WithReplacement("zone = hall-1", "zoen = hall-1"))
                 .find("f.ini:3: [daemon] zoen") == 0U);
  BOOST_TEST(ParseError(WithReplacement("10.0.0.1:80", "nowhere"))
                 .find("f.ini:5: [listen] callers") == 0U);
  BOOST_TEST(ParseError(WithReplacement("10000", "-1"))
                 .find("f.ini:11: [limits] longest_lease_ms") == 0U);
  BOOST_TEST(
      ParseError(WithReplacement("move_seconds = 1.5", "move_seconds = x"))
          .find("[limits] move_seconds") != std::string::npos);
  BOOST_TEST(ParseError(WithReplacement("id = edge-1\n", ""))
                 .find("[daemon] id: the key is missing") != std::string::npos);
}

// Guards against a key in the platform's settings template that the daemon
// rejects as unknown.
BOOST_AUTO_TEST_CASE(ReadsEveryKeyOfTheDeploymentTemplate) {
  std::ifstream file(std::string(QUARTZHOIST_SOURCE_DIR) +
                     "/deploy/quartzhoistd.ini");
  std::string filled;
  for (std::string line; std::getline(file, line);) {
    const std::size_t placeholder = line.find("{{");
    const std::string key = line.substr(0, line.find(' '));
    if (placeholder != std::string::npos)
      line = key + " = " +
             (key == "id" || key == "zone" ? "x"
              : key == "cores"             ? "0.5"
              : key.ends_with("_ms")       ? "1000"
              : key.ends_with("_bytes")    ? "65536"
              : key.ends_with("_parts")    ? "true"
              : key.ends_with("_checked")  ? "false"
              : key.ends_with("_seconds")  ? "2"
              : key.ends_with("_second")   ? "64.0"
                                           : "10.0.0.1:80");
    filled += line + "\n";
  }
  BOOST_TEST(ParseError(filled) == "");
}

// The row keeps its size however many queues wait, and loses the shortest
// waits.
BOOST_AUTO_TEST_CASE(OwnerRowHoldsTheLongestWaits) {
  OwnerRecord record;
  for (int i = 0; i < 100; ++i) {
    const std::string name = "name-of-twenty-chars-" + std::to_string(i);
    record.load.waits[name] = {.within_rate_ms = i, .over_rate_ms = 1000 + i};
    record.load.over_rate.push_back(name);
  }
  const std::string row = EncodeOwner(record);
  BOOST_TEST(row.size() < 1536U);
  const auto decoded = DecodeOwner(row);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(decoded->load.waits.size() == 17U);
  const ReportedWait longest{.within_rate_ms = 99, .over_rate_ms = 1099};
  BOOST_CHECK(decoded->load.waits.at("name-of-twenty-chars-99") == longest);
  BOOST_TEST(decoded->load.waits.contains("name-of-twenty-chars-83"));
  BOOST_TEST(!decoded->load.waits.contains("name-of-twenty-chars-82"));
  BOOST_TEST(decoded->load.over_rate.size() == 12U);
  BOOST_TEST(decoded->load.over_rate.front() == "name-of-twenty-chars-0");
}

// A row without the fields is an earlier version's, one with other contents may
// be a later one's: neither may hide the owner or name a wait.
BOOST_AUTO_TEST_CASE(OwnerRowWithMalformedWaitsIsReadWithoutThem) {
  const std::string row = EncodeOwner({.holder = "x", .epoch = 7});
  const auto with = [&row](const std::string& key, const std::string& content) {
    const std::string empty = key == "waits" ? "{}" : "[]";
    std::string text = row;
    const std::string found = "\"" + key + "\":" + empty;
    return text.replace(text.find(found), found.size(),
                        "\"" + key + "\":" + content);
  };
  for (const char* content :
       {"null", "7", "[]", R"({"q":5})", R"({"q":[5]})", R"({"q":[5,5,5]})",
        R"({"q":[-1,5]})", R"({"q":[5,"5"]})", R"({"q":[5,5.5]})",
        R"({"q":[5,2147483648]})", R"({"q":[5,18446744073709551615]})",
        R"({"good":[5,5],"q":[null,5]})"}) {
    const auto decoded = DecodeOwner(with("waits", content));
    BOOST_TEST_REQUIRE(decoded.has_value(), content);
    BOOST_TEST(decoded->epoch == 7U);
    BOOST_TEST(decoded->load.waits.empty(), content);
  }
  for (const char* content : {"null", "{}", R"("x")", R"(["x",5])"}) {
    const auto decoded = DecodeOwner(with("over_rate", content));
    BOOST_TEST_REQUIRE(decoded.has_value(), content);
    BOOST_TEST(decoded->load.over_rate.empty(), content);
  }
  const auto earlier =
      DecodeOwner(R"({"holder":"x","incarnation":"y","epoch":7,"beat":1})");
  BOOST_REQUIRE(earlier.has_value());
  BOOST_TEST(earlier->load.waits.empty());
  BOOST_TEST(earlier->load.over_rate.empty());
}

BOOST_AUTO_TEST_CASE(RowEncodingsRoundTrip) {
  AcceptedJob job;
  job.queue.name = "q";
  job.queue.service = "s";
  job.queue.priority = 1;
  job.queue.attempts = 4;
  job.queue.extension = 1.6;
  job.accepted_ms = 99;
  job.body = R"({"steps":[{}]})";
  const auto decoded = DecodeAccepted(EncodeAccepted(job));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_CHECK(decoded->queue == job.queue);
  BOOST_TEST(decoded->body == job.body);
  BOOST_TEST(!DecodeAccepted("{}").has_value());
  BOOST_TEST(!DecodeOwner("[]").has_value());
  BOOST_TEST(!DecodeLeases("7").has_value());
  const std::string encoded = EncodeProgressRecord({.shard = 3, .text = "{}"});
  BOOST_REQUIRE(DecodeProgressRecord(encoded).has_value());
  BOOST_TEST(DecodeProgressRecord(encoded)->shard == 3);
  BOOST_TEST(DecodeProgressRecord(encoded)->text == "{}");
  for (const char* text : {"", "{}", "3", "-1 {}", "x {}"})
    BOOST_TEST(!DecodeProgressRecord(std::string_view(text)).has_value());
  BOOST_TEST(ParseJobKey(CancelRow("abc", {}).key).is_cancel);
  BOOST_TEST(ParseJobKey(CancelRow("abc", {}).key).job == "abc");
  BOOST_TEST(!ParseJobKey(JobRow("abc", {}).key).is_cancel);
  BOOST_TEST(QueueLengthOf(EncodeQueueLengths({{"q", 7}}), "q") == 7);
  BOOST_TEST(QueueLengthOf("nonsense", "q") == 0);
  // The row does not grow with the number of queues.
  std::map<std::string, int> counts = {{"q", 7}};
  const std::size_t size = EncodeQueueLengths(counts).size();
  for (int i = 0; i < 600; ++i)
    counts["idle-" + std::to_string(i)] = 0;
  BOOST_TEST(EncodeQueueLengths(counts).size() == size);
  BOOST_TEST(QueueLengthOf(EncodeQueueLengths(counts), "idle-3") == 0);
}

}  // namespace
}  // namespace quartzhoist::entry
