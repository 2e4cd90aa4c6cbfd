// A server that ends, as its callers see it.

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "base/ip_address.h"
#include "http/client.h"
#include "http/server.h"
#include "testing/http_calls.h"

namespace quartzhoist::http {
namespace {

using testing::kLimit;
using testing::Url;

// Guards against a process that ends and answers "not run" for a request that
// its handler is still carrying out.
BOOST_AUTO_TEST_CASE(RequestInServiceWhenTheServerEndsMayHaveRun) {
  base::Loop loop;
  Client client(loop);
  std::optional<ClientResult> result;
  {
    ExchangePtr in_service;
    Server server(loop, {},
                  [&](const ExchangePtr& exchange) { in_service = exchange; });
    client.Send({.url = Url(server.port()), .timeout = kLimit},
                [&](ClientResult got) { result = std::move(got); });
    while (!in_service)
      loop.RunOnce();
  }
  while (!result)
    loop.RunOnce();
  BOOST_TEST(result->response.status == 504);
}

// Guards against a process that aborts, and hides the exception, where a
// handler's exception ends it: the request is neither answered nor waiting.
BOOST_AUTO_TEST_CASE(ServerWhoseHandlerThrewEndsWithItsRequestAnswered) {
  base::Loop loop;
  Client client(loop);
  std::optional<ClientResult> result;
  {
    Server server(loop, {}, [](const ExchangePtr&) {
      throw std::runtime_error("a handler's");
    });
    client.Send({.url = Url(server.port()), .timeout = kLimit},
                [&](ClientResult got) { result = std::move(got); });
    const auto run = [&loop] {
      for (;;)
        loop.RunOnce();
    };
    BOOST_CHECK_THROW(run(), std::runtime_error);
  }
  while (!result)
    loop.RunOnce();
  BOOST_TEST(result->response.status == 504);
}

// Guards against a server that stops listening twice and closes a descriptor
// that has been reused since.
BOOST_AUTO_TEST_CASE(ListenerIsClosedOnce) {
  constexpr int kDescriptors = 64;
  base::Loop loop;
  std::optional<Server> server;
  server.emplace(loop, ServerOptions{}, [](const ExchangePtr&) {});
  server->StopListening();
  std::vector<int> reused;
  for (int i = 0; i < kDescriptors; ++i)
    reused.push_back(dup(STDOUT_FILENO));
  server->StopListening();
  server.reset();
  int open = 0;
  for (const int fd : reused)
    open += close(fd) == 0;
  BOOST_TEST(open == kDescriptors);
}

// Callers on kept connections that have sent one request each.
class RawCallers {
 public:
  RawCallers(std::uint16_t port, int count) {
    const sockaddr_in kernel =
        base::ToKernel({.ip = "127.0.0.1", .port = port});
    for (int i = 0; i < count; ++i) {
      const int fd = socket(AF_INET, SOCK_STREAM, 0);
      BOOST_REQUIRE(connect(fd, reinterpret_cast<const sockaddr*>(&kernel),
                            sizeof kernel) == 0);
      this->sockets.push_back(fd);
      this->Send(fd);
    }
  }
  ~RawCallers() {
    for (const int fd : this->sockets)
      close(fd);
  }
  RawCallers(const RawCallers&) = delete;
  RawCallers& operator=(const RawCallers&) = delete;

  static void Send(int fd) {
    const std::string request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
  }
  // Connections that were reset: the server has read nothing.
  int CountResets() const {
    int count = 0;
    for (const int fd : this->sockets) {
      char byte;
      count += recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
               errno == ECONNRESET;
    }
    return count;
  }
  // Answers that have arrived whole, of requests without a body.
  int CountAnswers() const {
    int count = 0;
    for (const int fd : this->sockets) {
      char buffer[2048];
      const ssize_t got = recv(fd, buffer, sizeof buffer, MSG_DONTWAIT);
      const std::string text(buffer, got > 0 ? static_cast<size_t>(got) : 0);
      count += text.starts_with("HTTP/1.1 ") &&
               text.find("\r\n\r\n") != std::string::npos;
    }
    return count;
  }

 private:
  std::vector<int> sockets;
};

// Callers would see their connections end under requests that were read.
BOOST_AUTO_TEST_CASE(RequestsWithoutAnAnswerAreAnsweredWhenTheServerEnds) {
  constexpr int kCallers = 100;
  base::Loop loop;
  std::vector<ExchangePtr> unanswered;
  std::optional<RawCallers> callers;
  {
    Server server(loop, {}, [&](const ExchangePtr& exchange) {
      unanswered.push_back(exchange);
    });
    callers.emplace(server.port(), kCallers);
    while (unanswered.size() < kCallers)
      loop.RunOnce();
  }
  BOOST_TEST(callers->CountAnswers() == kCallers);
}

BOOST_AUTO_TEST_CASE(AnswersGivenRightBeforeTheServerEndsArrive) {
  constexpr int kCallers = 100;
  base::Loop loop;
  std::vector<ExchangePtr> open;
  std::optional<RawCallers> callers;
  {
    Server server(loop, {}, [&](const ExchangePtr& exchange) {
      open.push_back(exchange);
    });
    callers.emplace(server.port(), kCallers);
    while (open.size() < kCallers)
      loop.RunOnce();
    for (const ExchangePtr& exchange : open)
      exchange->Reply(JsonResponse(200, "{}"));
  }
  BOOST_TEST(callers->CountAnswers() == kCallers);
}

BOOST_AUTO_TEST_CASE(RequestsThatArriveAsTheServerEndsAreAnsweredOrNotRead) {
  constexpr int kCallers = 100;
  base::Loop loop;
  std::optional<RawCallers> callers;
  {
    Server server(loop, {}, [](const ExchangePtr& exchange) {
      exchange->Reply(JsonResponse(200, "{}"));
    });
    callers.emplace(server.port(), kCallers);
  }
  // A reset is told once, so that it is counted first.
  const int resets = callers->CountResets();
  BOOST_TEST(callers->CountAnswers() + resets == kCallers);
}

}  // namespace
}  // namespace quartzhoist::http
