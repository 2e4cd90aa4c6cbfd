// The HTTP adapters over real sockets: whole answers, own answers, and nothing
// sent twice behind the product's back.

#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "base/ip_address.h"
#include "http/client.h"
#include "http/server.h"
#include "testing/http_calls.h"
#include "testing/raw_server.h"

namespace quartzhoist::http {
namespace {

using base::Verdict;
using testing::Call;
using testing::kLimit;
using testing::RawServer;
using testing::Url;

// A sweep that never comes, so that nothing else flushes an answer.
constexpr base::Micros kNever = std::chrono::hours(1);

BOOST_AUTO_TEST_CASE(AnswerGivenFromATimerLeavesWithoutTheSweep) {
  base::Loop loop;
  ExchangePtr waiting;
  base::Timer later(loop, [&] { waiting->Reply({.body = "late"}); });
  Server server(loop, {.sweep_period = kNever}, [&](const ExchangePtr& got) {
    waiting = got;
    later.StartOnce(std::chrono::milliseconds(5));
  });
  Client client(loop);
  const ClientResult result = Call(loop, client, {.url = Url(server.port())});
  BOOST_TEST(result.response.body == "late");
}

BOOST_AUTO_TEST_CASE(ConnectionsUsedOnceDoNotPileUp) {
  base::Loop loop;
  base::Counters counters;
  Server server(
      loop, {.limits = {.connections = 4}, .counters = &counters},
      [](const ExchangePtr& exchange) { exchange->Reply({.body = "ok"}); });
  Client client(loop);
  for (int i = 0; i < 20; ++i) {
    const ClientResult result = Call(
        loop, client, {.url = Url(server.port()), .fresh_connection = true});
    BOOST_REQUIRE(result.response.status == 200);
  }
  BOOST_TEST(counters.Get(base::Counter::kConnectionsClosed) == 0U);
}

BOOST_AUTO_TEST_CASE(AnswerCutShortIsNotWhole) {
  base::Loop loop;
  RawServer server(loop, [](int) {
    return RawServer::Answer{
        "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort", true};
  });
  Client client(loop);
  const ClientResult result =
      Call(loop, client, {.url = Url(server.port()), .fresh_connection = true});
  BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
}

BOOST_AUTO_TEST_CASE(AnswerThatDoesNotTellItsEndIsNotWhole) {
  base::Loop loop;
  RawServer server(loop, [](int) {
    return RawServer::Answer{"HTTP/1.1 200 OK\r\n\r\nperhaps all of it", true};
  });
  Client client(loop);
  const ClientResult result = Call(loop, client, {.url = Url(server.port())});
  BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
}

BOOST_AUTO_TEST_CASE(UnsafeRequestIsSentOnceWhenItsConnectionDies) {
  base::Loop loop;
  // The first request is answered and its connection kept; any later one
  // reaches the server, runs, and gets no answer.
  RawServer server(loop, [](int number) {
    if (number == 1)
      return RawServer::Answer{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
                               false};
    return RawServer::Answer{"", true};
  });
  Client client(loop);
  Call(loop, client, {.url = Url(server.port())});
  const ClientResult result =
      Call(loop, client, {.url = Url(server.port()), .fresh_connection = true});
  BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
  BOOST_TEST(server.requests() == 2);
}

// Nothing else wakes the loop: only the client's own time-out can end this.
BOOST_AUTO_TEST_CASE(SilentServerIsGivenUpOn) {
  base::Loop loop;
  RawServer server(loop, [](int) { return RawServer::Answer{"", false}; });
  Client client(loop);
  for (const bool fresh : {false, true}) {
    std::optional<ClientResult> result;
    client.Send({.url = Url(server.port()),
                 .timeout = std::chrono::milliseconds(300),
                 .fresh_connection = fresh},
                [&](ClientResult got) {
                  result = std::move(got);
                  loop.Stop();
                });
    base::Timer limit(loop, [&] { loop.Stop(); });
    limit.StartOnce(kLimit);
    loop.Run();
    BOOST_REQUIRE(result.has_value());
    BOOST_CHECK(result->verdict == Verdict::kMayHaveRun);
  }
}

// Two connections are kept; both fall silent for good, new ones work.
BOOST_AUTO_TEST_CASE(SiblingsOfASilentConnectionAreNotUsed) {
  constexpr const char* kAnswer =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  base::Loop loop;
  RawServer server(loop, [](int number) {
    return RawServer::Answer{.bytes = number == 3 ? "" : kAnswer};
  });
  Client client(loop);
  int answered = 0;
  for (int i = 0; i < 2; ++i) {
    client.Send({.url = Url(server.port())}, [&](const ClientResult&) {
      if (++answered == 2)
        loop.Stop();
    });
  }
  loop.Run();
  BOOST_REQUIRE(server.connections() == 2);
  std::optional<ClientResult> silent;
  client.Send(
      {.url = Url(server.port()), .timeout = std::chrono::milliseconds(100)},
      [&](ClientResult got) {
        silent = std::move(got);
        loop.Stop();
      });
  loop.Run();
  BOOST_CHECK(silent->verdict == Verdict::kMayHaveRun);
  BOOST_TEST(Call(loop, client, {.url = Url(server.port())}).response.body ==
             "ok");
  BOOST_TEST(server.connections() == 3);
  // Nor do new ones pile up: a worker takes only so many.
  for (int i = 0; i < 5; ++i)
    Call(loop, client, {.url = Url(server.port())});
  BOOST_TEST(server.open_connections() <= 2);
}

BOOST_AUTO_TEST_CASE(RequestThatMayNoLongerGoIsNotSent) {
  base::Loop loop;
  RawServer server(loop, [](int) {
    return RawServer::Answer{
        .bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  });
  Client client(loop);
  bool may_send = true;
  const auto request = [&] {
    return ClientRequest{.url = Url(server.port()),
                         .may_send = [&] { return may_send; }};
  };
  BOOST_CHECK(Call(loop, client, request()).verdict == Verdict::kRan);
  may_send = false;
  BOOST_CHECK(Call(loop, client, request()).verdict == Verdict::kNotRun);
  BOOST_TEST(server.requests() == 1);
}

BOOST_AUTO_TEST_CASE(RequestsThatAreGivenUpMayHaveRun) {
  base::Loop loop;
  RawServer server(loop, [&](int) {
    loop.Stop();
    return RawServer::Answer{};
  });
  Client client(loop, {.reset_on_close = true});
  std::optional<ClientResult> result;
  client.Send({.url = Url(server.port()), .timeout = kLimit},
              [&](ClientResult got) { result = std::move(got); });
  loop.Run();
  client.GiveUpAll();
  BOOST_REQUIRE(result.has_value());
  BOOST_CHECK(result->verdict == Verdict::kMayHaveRun);
  BOOST_TEST(client.in_flight() == 0U);
}

BOOST_AUTO_TEST_CASE(RefusedConnectionDidNotRun) {
  base::Loop loop;
  std::uint16_t port = 0;
  {
    Server gone(loop, {}, [](const ExchangePtr&) {});
    port = gone.port();
  }
  Client client(loop);
  const ClientResult result = Call(loop, client, {.url = Url(port)});
  BOOST_CHECK(result.verdict == Verdict::kNotRun);
}

BOOST_AUTO_TEST_CASE(AnswerOverTheLimitIsNotWhole) {
  base::Loop loop;
  Server server(loop, {}, [](const ExchangePtr& exchange) {
    exchange->Reply({.body = std::string(5000, 'x')});
  });
  Client client(loop, {.max_answer = 1000});
  const ClientResult result = Call(loop, client, {.url = Url(server.port())});
  BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
}

// Guards against a process that keeps the headers of an answer without end.
BOOST_AUTO_TEST_CASE(AnswerWhoseHeadersAreOverTheLimitIsNotWhole) {
  constexpr int kHeaders = 3000;
  base::Loop loop;
  RawServer server(loop, [](int) {
    std::string bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n";
    for (int i = 0; i < kHeaders; ++i)
      bytes += "X-Filler: 01234567890123456789\r\n";
    return RawServer::Answer{bytes + "\r\n"};
  });
  Client client(loop);
  const ClientResult result = Call(loop, client, {.url = Url(server.port())});
  BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
}

// Guards against answers that together take more than each may.
BOOST_AUTO_TEST_CASE(LongestAnswerIsGivenUpWhereAllTakeTooMuch) {
  base::Loop loop;
  RawServer unended(loop, [](int) {
    return RawServer::Answer{"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" +
                             std::string(800, 'x')};
  });
  Server server(loop, {}, [](const ExchangePtr& exchange) {
    exchange->Reply({.body = std::string(200, 'y')});
  });
  const auto budget = std::make_shared<ByteBudget>(ByteBudget{.limit = 3000});
  Client client(loop, {.answers = budget});
  int ended = 0;
  for (int i = 0; i < 8; ++i)
    client.Send({.url = Url(unended.port()), .timeout = kLimit},
                [&](const ClientResult& result) {
                  ++ended;
                  BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
                });
  while (unended.requests() < 8)
    loop.RunOnce();
  const ClientResult result = Call(loop, client, {.url = Url(server.port())});
  BOOST_CHECK(result.verdict == Verdict::kRan);
  BOOST_TEST(result.response.body.size() == 200U);
  BOOST_TEST(budget->used <= budget->limit);
  client.GiveUpAll();
  BOOST_TEST(ended == 8);
  BOOST_TEST(budget->used == 0U);
}

// Guards against a process that opens a connection for each of its requests.
BOOST_AUTO_TEST_CASE(RequestsOverTheConnectionsOfAClientWait) {
  constexpr int kRequests = 12;
  base::Loop loop;
  std::size_t most = 0;
  std::optional<Server> server;
  server.emplace(loop, ServerOptions{}, [&](const ExchangePtr& exchange) {
    most = std::max(most, server->connections());
    exchange->Reply({});
  });
  Client client(loop, {.max_connections = 3});
  int ran = 0;
  for (int i = 0; i < kRequests; ++i)
    client.Send({.url = Url(server->port()), .timeout = kLimit},
                [&](const ClientResult& result) {
                  ran += result.verdict == Verdict::kRan;
                  if (ran == kRequests)
                    loop.Stop();
                });
  loop.Run();
  BOOST_TEST(most <= 3U);
}

BOOST_AUTO_TEST_CASE(BodyOverTheLimitIsRefusedAsNotRun) {
  base::Loop loop;
  int handled = 0;
  Server server(loop, {.max_body = 100}, [&](const ExchangePtr& exchange) {
    ++handled;
    exchange->Reply({});
  });
  Client client(loop);
  const ClientResult result = Call(loop, client,
                                   {.method = "POST",
                                    .url = Url(server.port()),
                                    .body = std::string(500, 'x')});
  BOOST_TEST(result.response.status == 413);
  BOOST_TEST(result.response.body.find("not_run") != std::string::npos);
  BOOST_TEST(handled == 0);
}

BOOST_AUTO_TEST_CASE(RequestsWithoutAHandlersAnswerAreCounted) {
  base::Loop loop;
  base::Counters counters;
  {
    ExchangePtr unanswered;
    Server server(loop, {.max_body = 100, .counters = &counters},
                  [&](const ExchangePtr& exchange) { unanswered = exchange; });
    Client client(loop);
    Call(loop, client,
         {.method = "POST",
          .url = Url(server.port()),
          .body = std::string(500, 'x')});
    BOOST_TEST(counters.Get(base::Counter::kRequestsCut) == 1U);
    client.Send({.url = Url(server.port()), .timeout = kLimit},
                [](const ClientResult&) {});
    while (!unanswered)
      loop.RunOnce();
  }
  BOOST_TEST(counters.Get(base::Counter::kRequestsCut) == 2U);
}

// The outcome of a request on a kept connection that ends without an answer,
// and of its repetition by the HTTP library, which gets `repeated`.
ClientResult ResultOfRepeated(const std::string& method,
                              const std::string& repeated) {
  base::Loop loop;
  RawServer server(loop, [&](int number) -> RawServer::Answer {
    if (number == 1)
      return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    if (number == 2)
      return {.bytes = "", .close = true};
    return {.bytes = "HTTP/1.1 " + repeated + "\r\nContent-Length: 0\r\n\r\n"};
  });
  Client client(loop);
  Call(loop, client, {.url = Url(server.port())});
  ClientResult result =
      Call(loop, client, {.method = method, .url = Url(server.port())});
  BOOST_TEST(server.requests() == 3);
  return result;
}

// Guards against a refusal of the second of two equal sends that is taken for
// the answer to both.
BOOST_AUTO_TEST_CASE(UnsafeRequestWhoseRepetitionIsRefusedMayHaveRun) {
  for (const char* status :
       {"503 Service Unavailable", "429 Too Many Requests", "409 Conflict"}) {
    const ClientResult result = ResultOfRepeated("POST", status);
    BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
  }
}

BOOST_AUTO_TEST_CASE(RepetitionThatIsDoneOrOnlyReadsHasRun) {
  BOOST_CHECK(ResultOfRepeated("POST", "200 OK").verdict == Verdict::kRan);
  const ClientResult read = ResultOfRepeated("GET", "503 Service Unavailable");
  BOOST_CHECK(read.verdict == Verdict::kRan);
  BOOST_TEST(read.response.status == 503);
}

// Guards against a request that counts as not sent since its repetition was
// not: the server read the first one, closed its connection, and no longer
// listens.
BOOST_AUTO_TEST_CASE(RequestWhoseRepetitionCannotConnectMayHaveRun) {
  for (const char* method : {"POST", "GET"}) {
    base::Loop loop;
    RawServer* listening = nullptr;
    RawServer server(loop, [&](int number) -> RawServer::Answer {
      if (number == 1)
        return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
      listening->StopListening();
      return {.bytes = "", .close = true};
    });
    listening = &server;
    Client client(loop);
    Call(loop, client, {.url = Url(server.port())});
    const ClientResult result =
        Call(loop, client, {.method = method, .url = Url(server.port())});
    BOOST_TEST(server.requests() == 2);
    BOOST_CHECK(result.verdict == Verdict::kMayHaveRun);
  }
}

// Guards against the same where the repetition is not allowed any more.
BOOST_AUTO_TEST_CASE(RequestThatMayNotBeRepeatedMayHaveRun) {
  base::Loop loop;
  bool may_send = true;
  RawServer server(loop, [&](int number) -> RawServer::Answer {
    if (number == 1)
      return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
    may_send = false;
    return {.bytes = "", .close = true};
  });
  Client client(loop);
  const auto request = [&] {
    return ClientRequest{.method = "POST",
                         .url = Url(server.port()),
                         .may_send = [&] { return may_send; }};
  };
  Call(loop, client, request());
  BOOST_CHECK(Call(loop, client, request()).verdict == Verdict::kMayHaveRun);
  BOOST_TEST(server.requests() == 2);
}

// An answer that is given to the second of two equal sends says nothing of the
// first.
BOOST_AUTO_TEST_CASE(RepeatedCallIsCounted) {
  base::Loop loop;
  base::Counters counters;
  RawServer server(loop, [](int number) -> RawServer::Answer {
    if (number == 2)
      return {.bytes = "", .close = true};
    return {.bytes = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"};
  });
  Client client(loop, {.counters = &counters});
  for (int i = 0; i < 2; ++i)
    Call(loop, client, {.method = "POST", .url = Url(server.port())});
  BOOST_TEST(server.requests() == 3);
  BOOST_TEST(counters.Get(base::Counter::kCallsRepeated) == 1U);
}

BOOST_AUTO_TEST_CASE(CallerThatHangsUpIsNoticed) {
  base::Loop loop;
  bool abandoned = false;
  Client client(loop);
  RequestId id = 0;
  base::Timer hang_up(loop, [&] { client.Cancel(id); });
  Server server(loop, {}, [&](const ExchangePtr& exchange) {
    exchange->OnAbandoned([&] {
      abandoned = true;
      loop.Stop();
    });
    hang_up.StartOnce(std::chrono::milliseconds(1));
  });
  id = client.Send({.url = Url(server.port()), .timeout = kLimit},
                   [](const ClientResult&) {});
  base::Timer limit(loop, [&] { loop.Stop(); });
  limit.StartOnce(kLimit);
  loop.Run();
  BOOST_TEST(abandoned);
}

// Sends bytes, closes its side, and waits until the server does the same.
void SendRaw(base::Loop& loop, std::uint16_t port, const std::string& bytes) {
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in kernel = base::ToKernel({.ip = "127.0.0.1", .port = port});
  BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&kernel),
                        sizeof kernel) == 0);
  send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  shutdown(fd, SHUT_WR);
  base::IoWatcher watcher(loop, fd, EV_READ, [&](int) {
    char buffer[512];
    if (recv(fd, buffer, sizeof buffer, MSG_DONTWAIT) <= 0)
      loop.Stop();
  });
  // The server may rightly wait for more; the test does not.
  base::Timer limit(loop, [&] { loop.Stop(); });
  limit.StartOnce(std::chrono::milliseconds(10));
  loop.Run();
  close(fd);
}

RC_BOOST_PROP(MalformedRequestsLeaveTheServerStanding, ()) {
  base::Loop loop;
  Server server(
      loop, {.sweep_period = std::chrono::milliseconds(1)},
      [](const ExchangePtr& exchange) { exchange->Reply({.body = "ok"}); });
  const auto method = *rc::gen::element<std::string>(
      "GET / HTTP/1.1\r\n", "POST /x HTTP/1.1\r\nContent-Length: 9\r\n",
      "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n", "");
  const auto junk = *rc::gen::container<std::string>(
      rc::gen::element('\r', '\n', ':', ' ', 'a', '\0', '\xff', '9', '/'));
  SendRaw(loop, server.port(), method + junk + "\r\n\r\n");
  Client client(loop);
  const ClientResult result = Call(loop, client, {.url = Url(server.port())});
  RC_ASSERT(result.response.body == "ok");
}

}  // namespace
}  // namespace quartzhoist::http
