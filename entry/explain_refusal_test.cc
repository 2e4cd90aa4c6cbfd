// Tests what the operators' client says when a daemon refuses an explanation.

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "entry/explain_api.h"
#include "http/server.h"
#include "testing/process.h"
#include "testing/store_bench.h"

namespace quartzhoist::entry {
namespace {

// Guards against a client that succeeds without an explanation, or does not say
// why there is none: a daemon that has just started knows no configuration and
// no number of shards yet.
BOOST_AUTO_TEST_CASE(ClientPrintsWhyADaemonRefusesAnExplanation) {
  testing::StoreBench bench;
  const jobs::Config config;
  bool has_config = false;
  ExplainApi api(
      bench.store,
      {.config = [&] { return has_config ? &config : nullptr; },
       .shards = [] { return 0; },
       .owned = [](const std::string&) { return std::optional<OwnedJob>(); }});
  http::Server server(bench.loop, {}, [&](const http::ExchangePtr& exchange) {
    api.Handle(exchange);
  });
  std::string folder = "/tmp/quartzhoist-explain-XXXXXX";
  BOOST_REQUIRE(mkdtemp(folder.data()));
  for (const char* reason :
       {"no configuration yet", "the number of shards is not known yet"}) {
    const std::string address = "127.0.0.1:" + std::to_string(server.port());
    testing::Process client(
        {std::string(QUARTZHOIST_BINARY_DIR) + "/client/quartzhoist", "explain",
         "5c0e7a21d94b36f8", address},
        folder + "/client");
    bench.Within(std::chrono::seconds(40), [&] { return !client.running(); });
    BOOST_TEST(client.Wait(0).value_or(-1) == 1);
    BOOST_TEST(client.Output() == "");
    BOOST_TEST(client.Log() == "quartzhoist: the daemon at " + address +
                                   " answered 503: " + reason + "\n");
    has_config = true;
  }
  std::filesystem::remove_all(folder);
}

}  // namespace
}  // namespace quartzhoist::entry
