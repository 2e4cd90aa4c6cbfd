// An HTTP/1.1 server on a loop: libmicrohttpd, driven through its epoll
// descriptor. Every request is read whole, handed over once, answered once.

#ifndef HTTP_SERVER_H_
#define HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "base/counters.h"
#include "base/loop.h"
#include "http/message.h"

struct MHD_Connection;
struct MHD_Daemon;

namespace quartzhoist::http {

class Server;

// One request and the right to answer it. Lives until both the server and the
// handler have let go of it.
class Exchange {
 public:
  explicit Exchange(Server& server);

  const Request& request() const { return this->received; }
  // The caller has gone away: nobody will read an answer.
  bool abandoned() const { return this->caller_gone; }

  // Answers. The second and later calls do nothing.
  void Reply(Response response);
  // Closes the connection without an answer.
  void Cut();
  // Called once if the caller goes away before the answer.
  void OnAbandoned(std::function<void()> action);

 private:
  friend class Server;

  void Abandon();

  Server* server;  // null once the connection has ended
  MHD_Connection* connection = nullptr;
  Request received;
  Response answer;
  std::function<void()> on_abandoned;
  base::Micros since{};
  bool too_large = false;
  bool handed_over = false;
  bool suspended = false;
  bool answered = false;
  bool queued = false;
  bool cut = false;
  bool caller_gone = false;
};

using ExchangePtr = std::shared_ptr<Exchange>;

struct ServerOptions {
  std::string address = "127.0.0.1";  // an IP number
  std::uint16_t port = 0;             // 0: the kernel chooses
  std::size_t max_body = 1 << 20;     // bytes; more is answered with 413
  unsigned max_connections = 4096;
  // Interval of checks for callers that hung up.
  base::Micros sweep_period = std::chrono::milliseconds(50);
  // Counts and logs the requests that no handler answered; null: does neither.
  base::Counters* counters = nullptr;
};

class Server {
 public:
  // Throws std::runtime_error if the address cannot be listened on.
  Server(base::Loop& loop,
         const ServerOptions& options,
         std::function<void(ExchangePtr)> handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::uint16_t port() const { return this->bound_port; }
  // Requests handed over whose answer has not been sent whole.
  std::size_t open_exchanges() const { return this->open; }
  std::size_t connections() const;
  // Takes no further connections: attempts are reset. Those open go on.
  void StopListening();

 private:
  friend class Exchange;
  struct Callbacks;

  void RunPending();
  void FindAbandoned();
  void ReplyUnanswered(Exchange& exchange) const;
  void NoteCut(const Request& request,
               int status,
               std::string_view reason) const;

  std::function<void(ExchangePtr)> handler;
  std::size_t max_body;
  base::Counters* counters;
  std::uint16_t bound_port = 0;
  std::size_t reading = 0;  // requests whose body has not come whole
  std::size_t open = 0;
  bool is_listening = true;
  bool ending = false;
  bool resumed = false;  // a connection was, since the library ran last
  MHD_Daemon* daemon = nullptr;
  std::vector<ExchangePtr> waiting;  // suspended, in order of arrival
  std::unique_ptr<base::IoWatcher> readiness;
  std::unique_ptr<base::PrepareWatcher> prepare;
  std::unique_ptr<base::Timer> sweep;
};

}  // namespace quartzhoist::http

#endif  // HTTP_SERVER_H_
