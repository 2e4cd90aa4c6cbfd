// Tests of marked connections and of the requests bound to them.

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "base/loop.h"
#include "http/client.h"
#include "http/server.h"

namespace quartzhoist::http {
namespace {

struct MarkedPeer {
  explicit MarkedPeer(std::uint16_t port = 0) { this->Start(port); }

  void Start(std::uint16_t port) {
    this->requests = 0;
    this->server =
        std::make_unique<Server>(this->loop, ServerOptions{.port = port},
                                 [this](const ExchangePtr& exchange) {
                                   ++this->requests;
                                   exchange->Reply(JsonResponse(200, "{}"));
                                 });
    this->host = "127.0.0.1:" + std::to_string(this->server->port());
  }

  ClientResult Call(const std::string& mark) {
    std::optional<ClientResult> result;
    this->client.Send({.url = "http://" + this->host + "/", .mark = mark},
                      [&](const ClientResult& got) { result = got; });
    while (!result)
      this->loop.RunOnce();
    return *result;
  }

  base::Loop loop;
  std::unique_ptr<Server> server;
  std::string host;
  Client client{loop};
  int requests = 0;
};

BOOST_AUTO_TEST_CASE(MarkedRequestNeedsAConnectionWithItsMark) {
  MarkedPeer peer;
  const ClientResult unmarked = peer.Call("a");
  BOOST_CHECK(unmarked.verdict == base::Verdict::kNotRun);
  BOOST_TEST(unmarked.lacks_mark);
  BOOST_TEST(peer.requests == 0);
  const ClientResult first = peer.Call("");
  BOOST_REQUIRE(first.local_port > 0);
  BOOST_TEST(!peer.client.HasIdleConnection(peer.host, "a"));
  peer.client.MarkConnection(peer.host, first.local_port, "a");
  BOOST_TEST(peer.client.HasIdleConnection(peer.host, "a"));
  BOOST_TEST(!peer.client.HasIdleConnection(peer.host, "b"));
  for (int i = 0; i < 3; ++i)
    BOOST_CHECK(peer.Call("a").verdict == base::Verdict::kRan);
  BOOST_TEST(peer.Call("b").lacks_mark);
  // That request closed the connection, and its mark went with it.
  BOOST_TEST(!peer.client.HasIdleConnection(peer.host, "a"));
  BOOST_TEST(peer.Call("a").lacks_mark);
  BOOST_TEST(peer.requests == 4);
}

// Guards against a request that another process answers: the one that was meant
// had ended, and the next one listened at its address.
BOOST_AUTO_TEST_CASE(MarkDoesNotOutlastTheProcessAtTheOtherEnd) {
  MarkedPeer peer;
  const ClientResult first = peer.Call("");
  peer.client.MarkConnection(peer.host, first.local_port, "a");
  const std::uint16_t port = peer.server->port();
  peer.server.reset();
  peer.Start(port);
  for (int i = 0; i < 3; ++i)
    BOOST_CHECK(peer.Call("a").verdict != base::Verdict::kRan);
  BOOST_TEST(peer.requests == 0);
}

BOOST_AUTO_TEST_CASE(ConnectionInUseIsNotIdle) {
  MarkedPeer peer;
  const ClientResult first = peer.Call("");
  peer.client.MarkConnection(peer.host, first.local_port, "a");
  bool is_idle_meanwhile = true;
  std::optional<ClientResult> result;
  peer.client.Send({.url = "http://" + peer.host + "/", .mark = "a"},
                   [&](const ClientResult& got) { result = got; });
  while (peer.requests < 2)
    peer.loop.RunOnce();
  is_idle_meanwhile = !result && peer.client.HasIdleConnection(peer.host, "a");
  while (!result)
    peer.loop.RunOnce();
  BOOST_TEST(!is_idle_meanwhile);
  BOOST_TEST(peer.client.HasIdleConnection(peer.host, "a"));
}

}  // namespace
}  // namespace quartzhoist::http
