// Limits of a server: clients over them are refused or closed, others served.

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <boost/test/unit_test.hpp>

#include "base/ip_address.h"
#include "http/client.h"
#include "http/server.h"
#include "testing/http_calls.h"

namespace quartzhoist::http {
namespace {

using testing::Call;
using testing::kLimit;
using testing::Url;

// A connection that sends raw bytes; reads without waiting.
class RawClient {
 public:
  RawClient(std::uint16_t port, const std::string& bytes)
      : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
    // Room for all that these tests send: it leaves while the server's loop
    // runs.
    constexpr int kSendBuffer = 1 << 20;
    setsockopt(this->fd, SOL_SOCKET, SO_SNDBUF, &kSendBuffer,
               sizeof kSendBuffer);
    const sockaddr_in to = base::ToKernel({.ip = "127.0.0.1", .port = port});
    BOOST_REQUIRE(connect(this->fd, reinterpret_cast<const sockaddr*>(&to),
                          sizeof to) == 0);
    this->Send(bytes);
  }
  ~RawClient() { close(this->fd); }
  RawClient(const RawClient&) = delete;
  RawClient& operator=(const RawClient&) = delete;

  void Send(const std::string& bytes) const {
    send(this->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  }
  bool HasEnded() const {
    char byte;
    const ssize_t got = recv(this->fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK);
    return got == 0 || (got < 0 && errno == ECONNRESET);
  }
  std::string Received() const {
    std::string all(4096, '\0');
    const ssize_t got = recv(this->fd, all.data(), all.size(), MSG_DONTWAIT);
    all.resize(got > 0 ? static_cast<std::size_t>(got) : 0);
    return all;
  }

 private:
  int fd;
};

std::string PostHead(std::size_t announced) {
  return fmt::format("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: {}\r\n\r\n",
                     announced);
}

struct LimitsFixture {
  explicit LimitsFixture(ServerOptions options) {
    options.counters = &this->counters;
    this->server.emplace(this->loop, options,
                         [this](const ExchangePtr& exchange) {
                           ++this->handled;
                           if (this->keeps)
                             this->kept.push_back(exchange);
                           else
                             exchange->Reply({.body = this->answer});
                         });
  }

  void RunUntil(const std::function<bool()>& holds) {
    const base::Micros until = base::MonotonicNow() + kLimit;
    while (!holds() && base::MonotonicNow() < until)
      this->loop.RunOnce();
    BOOST_TEST(holds());
  }

  int StatusOfCall(const std::string& body = "") {
    Client client(this->loop);
    return Call(this->loop, client,
                {.method = body.empty() ? "GET" : "POST",
                 .url = Url(this->server->port()),
                 .body = body})
        .response.status;
  }

  std::uint64_t closed() const {
    return this->counters.Get(base::Counter::kConnectionsClosed);
  }

  base::Loop loop;
  base::Counters counters;
  int handled = 0;
  bool keeps = false;  // the handler answers nothing
  std::string answer;
  std::vector<ExchangePtr> kept;
  std::optional<Server> server;
};

// Guards against a body that is read to its end before it is refused.
BOOST_AUTO_TEST_CASE(BodyAnnouncedOverTheLimitIsRefusedAtOnce) {
  LimitsFixture fixture({.max_body = 100});
  const RawClient client(fixture.server->port(), PostHead(900'000'000));
  std::string received;
  fixture.RunUntil([&] {
    received += client.Received();
    return client.HasEnded();
  });
  BOOST_TEST(received.starts_with("HTTP/1.1 413"));
  BOOST_TEST(received.find("not_run") != std::string::npos);
  BOOST_TEST(fixture.handled == 0);
}

BOOST_AUTO_TEST_CASE(ChunkedBodyALittleOverTheLimitIsAnswered) {
  LimitsFixture fixture({.max_body = 100});
  const RawClient client(
      fixture.server->port(),
      "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n96\r\n" +
          std::string(0x96, 'x') + "\r\n0\r\n\r\n");
  std::string received;
  fixture.RunUntil([&] {
    received += client.Received();
    return !received.empty();
  });
  BOOST_TEST(received.starts_with("HTTP/1.1 413"));
  BOOST_TEST(fixture.handled == 0);
}

// Guards against a body without an end whose sender is read for good.
BOOST_AUTO_TEST_CASE(ChunkedBodyFarOverTheLimitIsClosed) {
  LimitsFixture fixture({.max_body = 100});
  const RawClient client(fixture.server->port(),
                         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                         "chunked\r\n\r\n400\r\n" +
                             std::string(0x400, 'x') + "\r\n");
  fixture.RunUntil([&] { return client.HasEnded(); });
  BOOST_TEST(fixture.closed() == 1U);
  BOOST_TEST(fixture.handled == 0);
}

BOOST_AUTO_TEST_CASE(BodyOfTheLimitIsServed) {
  LimitsFixture fixture({.max_body = 300'000});
  BOOST_TEST(fixture.StatusOfCall(std::string(300'000, 'x')) == 200);
  BOOST_TEST(fixture.closed() == 0U);
}

// Guards against bodies of stalled clients that leave no room for others.
BOOST_AUTO_TEST_CASE(OldestUnfinishedBodyMakesRoom) {
  LimitsFixture fixture(
      {.max_body = 60'000, .limits = {.held_bytes = 100'000}});
  const std::string unfinished = PostHead(50'000) + std::string(49'999, 'x');
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 10; ++i)
    crowd.push_back(
        std::make_unique<RawClient>(fixture.server->port(), unfinished));
  fixture.RunUntil([&] { return crowd.front()->HasEnded(); });
  BOOST_TEST(fixture.StatusOfCall(std::string(50'000, 'x')) == 200);
  BOOST_TEST(fixture.handled == 1);
}

// Requests in service keep their room: a further one that does not fit is
// refused before it has run, with a time to come back.
BOOST_AUTO_TEST_CASE(BodyWithoutRoomIsRefusedAtOnce) {
  LimitsFixture fixture(
      {.max_body = 60'000, .limits = {.held_bytes = 115'000}});
  fixture.keeps = true;
  Client client(fixture.loop);
  for (std::size_t i = 0; i < 2; ++i) {
    client.Send({.method = "POST",
                 .url = Url(fixture.server->port()),
                 .body = std::string(40'000, 'x'),
                 .timeout = kLimit},
                [](const ClientResult&) {});
    fixture.RunUntil([&] { return fixture.kept.size() == i + 1; });
  }
  const ClientResult refused = Call(fixture.loop, client,
                                    {.method = "POST",
                                     .url = Url(fixture.server->port()),
                                     .body = std::string(40'000, 'x')});
  BOOST_TEST(refused.response.status == 503);
  BOOST_TEST(FindHeader(refused.response.headers, "Retry-After"));
  BOOST_TEST(fixture.handled == 2);
  for (const ExchangePtr& exchange : fixture.kept)
    exchange->Reply({});
  fixture.keeps = false;
  BOOST_TEST(fixture.StatusOfCall(std::string(40'000, 'x')) == 200);
}

// Guards against heads in service that are bounded by no limit, since only
// bodies are announced.
BOOST_AUTO_TEST_CASE(RequestWithoutABodyIsRefusedWhereThereIsNoRoom) {
  LimitsFixture fixture({.limits = {.held_bytes = 100}});
  fixture.keeps = true;
  const RawClient first(fixture.server->port(),
                        "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  fixture.RunUntil([&] { return fixture.kept.size() == 1; });
  BOOST_TEST(fixture.StatusOfCall() == 503);
  BOOST_TEST(fixture.handled == 1);
}

BOOST_AUTO_TEST_CASE(RequestWithoutRoomGetsTheAnswerThatItsOwnerGives) {
  LimitsFixture fixture(
      {.max_body = 60'000,
       .limits = {.held_bytes = 30'000},
       .on_no_room = [](const Request& request) {
         return Response{.status = 504, .headers = {}, .body = request.method};
       }});
  BOOST_TEST(fixture.StatusOfCall(std::string(40'000, 'x')) == 504);
  BOOST_TEST(fixture.handled == 0);
}

// Guards against limits that are read again and not in force.
BOOST_AUTO_TEST_CASE(ChangedLimitsAreInForce) {
  LimitsFixture fixture({.max_body = 60'000});
  BOOST_TEST(fixture.StatusOfCall(std::string(200, 'x')) == 200);
  fixture.server->SetLimits(
      {.connections = 1, .idle_time = std::chrono::milliseconds(200)}, 100);
  BOOST_TEST(fixture.StatusOfCall(std::string(200, 'x')) == 413);
  fixture.RunUntil([&] { return fixture.server->connections() == 0; });
  const std::uint64_t closed_before = fixture.closed();
  const RawClient first(fixture.server->port(), "");
  const RawClient second(fixture.server->port(), "");
  fixture.RunUntil([&] { return first.HasEnded(); });
  BOOST_TEST(fixture.closed() == closed_before + 1);
  fixture.RunUntil([&] { return second.HasEnded(); });
}

// Guards against requests whose clients have left and that count for nothing
// while a handler has them.
BOOST_AUTO_TEST_CASE(BodyOfAClientThatLeftTakesRoomUntilItsHandlerIsDone) {
  LimitsFixture fixture(
      {.max_body = 60'000, .limits = {.held_bytes = 115'000}});
  fixture.keeps = true;
  for (std::size_t i = 0; i < 2; ++i) {
    const RawClient leaver(fixture.server->port(),
                           PostHead(40'000) + std::string(40'000, 'x'));
    fixture.RunUntil([&] { return fixture.kept.size() == i + 1; });
  }
  fixture.RunUntil([&] { return fixture.server->connections() == 0; });
  fixture.keeps = false;
  BOOST_TEST(fixture.StatusOfCall(std::string(40'000, 'x')) == 503);
  fixture.kept.clear();
  fixture.RunUntil(
      [&] { return fixture.StatusOfCall(std::string(40'000, 'x')) == 200; });
}

// Guards against clients that hold all connections.
BOOST_AUTO_TEST_CASE(OldestConnectionMakesRoomForANewOne) {
  LimitsFixture fixture({.limits = {.connections = 4}});
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 8; ++i)
    crowd.push_back(std::make_unique<RawClient>(fixture.server->port(),
                                                i % 2 == 0 ? "" : "GET / HT"));
  BOOST_TEST(fixture.StatusOfCall() == 200);
  BOOST_TEST(crowd.front()->HasEnded());
  BOOST_TEST(!crowd.back()->HasEnded());
  BOOST_TEST(fixture.server->connections() <= 5U);
}

// Guards against a request that is carried out, unanswered, after its
// connection has been closed for a limit.
BOOST_AUTO_TEST_CASE(RequestOfAClosedConnectionIsNotHandedOver) {
  LimitsFixture fixture({.limits = {.connections = 1}});
  const RawClient first(fixture.server->port(), "");
  fixture.RunUntil([&] { return fixture.server->connections() == 1; });
  // The loop sees the request and the connection that takes its place at once.
  first.Send(PostHead(10) + std::string(10, 'x'));
  const RawClient second(fixture.server->port(), "");
  fixture.RunUntil([&] { return first.HasEnded(); });
  BOOST_TEST(fixture.closed() == 1U);
  BOOST_TEST(fixture.handled == 0);
  BOOST_TEST(first.Received() == "");
}

// Guards against a client that keeps its request going by a byte now and then.
BOOST_AUTO_TEST_CASE(RequestThatTakesTooLongIsClosedHoweverItsBytesCome) {
  LimitsFixture fixture(
      {.limits = {.transfer_time = std::chrono::milliseconds(200)}});
  const RawClient client(fixture.server->port(), PostHead(1'000'000));
  fixture.RunUntil([&] {
    client.Send("x");
    return client.HasEnded();
  });
  BOOST_TEST(fixture.handled == 0);
  BOOST_TEST(fixture.closed() == 1U);
}

BOOST_AUTO_TEST_CASE(IdleConnectionIsClosedAndNotCounted) {
  LimitsFixture fixture(
      {.limits = {.idle_time = std::chrono::milliseconds(200)}});
  const RawClient client(fixture.server->port(), "");
  fixture.RunUntil([&] { return client.HasEnded(); });
  BOOST_TEST(fixture.closed() == 0U);
}

// Guards against answers that nobody reads and that are kept.
BOOST_AUTO_TEST_CASE(OldestUnreadAnswerMakesRoom) {
  LimitsFixture fixture({.limits = {.held_bytes = 20'000'000}});
  fixture.answer = std::string(8'000'000, 'x');
  const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  std::vector<std::unique_ptr<RawClient>> crowd;
  for (int i = 0; i < 6; ++i)
    crowd.push_back(
        std::make_unique<RawClient>(fixture.server->port(), request));
  fixture.RunUntil([&] { return fixture.closed() >= 4; });
  BOOST_TEST(fixture.StatusOfCall() == 200);
}

// Guards against an answer that its client does not read and that keeps its
// connection for good.
BOOST_AUTO_TEST_CASE(UnreadAnswerIsClosedInTime) {
  LimitsFixture fixture(
      {.limits = {.transfer_time = std::chrono::milliseconds(200)}});
  fixture.answer = std::string(8'000'000, 'x');
  const RawClient client(fixture.server->port(),
                         "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  fixture.RunUntil([&] { return fixture.closed() == 1; });
  fixture.RunUntil([&] { return fixture.server->connections() == 0; });
}

// Callers may send heads of 16,384 bytes.
BOOST_AUTO_TEST_CASE(LongHeadIsServed) {
  LimitsFixture fixture({});
  const RawClient client(fixture.server->port(),
                         "GET / HTTP/1.1\r\nHost: a\r\nX-Long: " +
                             std::string(16'300, 'x') + "\r\n\r\n");
  std::string received;
  fixture.RunUntil([&] {
    received += client.Received();
    return !received.empty();
  });
  BOOST_TEST(received.starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace quartzhoist::http
