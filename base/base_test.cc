#include <unistd.h>

#include <csignal>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "base/event_log.h"
#include "base/ini_file.h"
#include "base/ip_address.h"
#include "base/line_writer.h"

namespace quartzhoist::base {
namespace {

struct Named {
  std::string id;
};

BOOST_AUTO_TEST_CASE(EventCatalogueEqualsTheCode) {
  std::set<std::string> in_code;
  for (const EventInfo& info : kEvents)
    in_code.insert(fmt::format("QH{:04} {} {}", info.number,
                               NameOf(kLevelNames, info.level), info.name));
  BOOST_TEST(in_code.size() == kEvents.size());
  std::set<std::string> in_docs;
  std::ifstream docs(QUARTZHOIST_SOURCE_DIR "/docs/LOG-EVENTS.md");
  std::string line;
  while (std::getline(docs, line)) {
    if (!line.starts_with("| QH"))
      continue;
    std::istringstream cells(line);
    std::string bar, number, level, name;
    cells >> bar >> number >> bar >> level >> bar >> name;
    in_docs.insert(fmt::format("{} {} {}", number, level, name));
  }
  BOOST_TEST(in_code == in_docs, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(EventLineQuotesWhatNeedsIt) {
  const std::string line =
      FormatEvent(Event::kPlatformAnswerBad, {{"problem", "a \"b\"\nc"}});
  BOOST_TEST(line ==
             R"({"level":"WARN","id":"QH0303","event":"platform_answer_bad",)"
             R"("problem":"a \"b\"\u000ac"})");
}

BOOST_AUTO_TEST_CASE(EventLineShowsNumbersAndTruthAsSuch) {
  BOOST_TEST(FormatEvent(Event::kDaemonStarted,
                         {{"port", 80}, {"ready", true}, {"name", "x"}}) ==
             R"({"level":"INFO","id":"QH0101","event":"daemon_started",)"
             R"("port":80,"ready":true,"name":"x"})");
}

// Any bytes of a caller make one line of ASCII.
RC_BOOST_PROP(EventLineIsOneLineWhateverItTells, (const std::string& bytes)) {
  const std::string line = FormatEvent(Event::kDecision, {{"text", bytes}});
  RC_ASSERT(line.size() < kLongestLine);
  for (const char c : line)
    RC_ASSERT(c >= ' ' && c <= '~');
}

BOOST_AUTO_TEST_CASE(FullPipeNeverHoldsTheWriterUp) {
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  const std::string line(kLongestLine, 'x');
  int written = 0;
  // Far beyond what a pipe holds: a writer that waited would hang here.
  for (int i = 0; i < 1000; ++i)
    written += WriteLine(ends[1], line);
  BOOST_TEST(written > 0);
  BOOST_TEST(written < 1000);
  close(ends[0]);
  close(ends[1]);
}

BOOST_AUTO_TEST_CASE(ClosedPipeIsNoError) {
  std::signal(SIGPIPE, SIG_IGN);
  int ends[2];
  BOOST_REQUIRE(pipe(ends) == 0);
  close(ends[0]);
  BOOST_TEST(!WriteLine(ends[1], "line\n"));
  close(ends[1]);
}

BOOST_AUTO_TEST_CASE(FloodOfOneKindLeavesTheOthersTheirLines) {
  LineBudget<2> budget;
  const Micros now = std::chrono::seconds(5);
  std::uint32_t taken = 0;
  for (int i = 0; i < 10'000; ++i)
    taken += budget.Take(0, now);
  BOOST_TEST(taken == budget.kLinesASecond);
  BOOST_TEST(budget.Take(1, now));
  // Omitted lines are counted in one line, in a later second.
  BOOST_TEST(budget.TakeLeftOut(0, now) == 0U);
  const Micros later = std::chrono::seconds(6);
  BOOST_TEST(budget.TakeLeftOut(0, later) == 10'000U - taken);
  BOOST_TEST(budget.TakeLeftOut(0, later) == 0U);
  BOOST_TEST(budget.Take(0, later));
}

BOOST_AUTO_TEST_CASE(IniErrorsNameTheLine) {
  std::istringstream good("[a]\n# comment\nx = 1\n\n[b]\ny = 2\n");
  const std::vector<IniEntry> entries = ReadIni(good, "f.ini");
  BOOST_REQUIRE(entries.size() == 2);
  BOOST_TEST(entries[0].line == 3);
  BOOST_TEST(entries[1].section == "b");
  BOOST_TEST(entries[1].line == 6);
  std::istringstream bad("[a]\nx = 1\nnonsense\n");
  BOOST_CHECK_EXCEPTION(
      ReadIni(bad, "f.ini"), TextError, [](const TextError& error) {
        return std::string(error.what()).starts_with("f.ini:3:");
      });
}

RC_BOOST_PROP(AnyIniTextIsReadOrRefused, ()) {
  std::istringstream in(*rc::gen::container<std::string>(
      rc::gen::element('[', ']', '=', '\n', 'a', ' ', ';', '#', '\0', ':')));
  try {
    ReadIni(in, "f");
  } catch (const TextError&) {
  }
}

RC_BOOST_PROP(AddressTextRoundTrips, (std::uint16_t port)) {
  const IpAddress address{.ip = "10.1.2.3", .port = port};
  const auto parsed = ParseIpAddress(ToText(address));
  RC_ASSERT(parsed.has_value());
  RC_ASSERT(parsed->ip == address.ip && parsed->port == port);
}

BOOST_AUTO_TEST_CASE(AddressesThatAreNone) {
  for (const char* text : {"", "10.0.0.1", "10.0.0.1:", "host:80",
                           "10.0.0.1:70000", "10.0.0.1:8x", "1.2.3.4.5:6"})
    BOOST_TEST(!ParseIpAddress(text).has_value());
}

}  // namespace
}  // namespace quartzhoist::base
