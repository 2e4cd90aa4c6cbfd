// An HTTP/1.1 server on a loop: libmicrohttpd, driven through its epoll
// descriptor. Every request is read whole, handed over once, answered once.
// Connections, the bytes they hold and their time are bounded: those over a
// limit are closed, the oldest first, before their request has been handed over
// or while its answer is being sent.

#ifndef HTTP_SERVER_H_
#define HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "http/connection_table.h"
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
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // The body is gone once the request has been answered.
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
  void ReleaseBody();

  Server* server;  // null once the connection has ended
  // Where `size` is charged after that, if at all.
  std::weak_ptr<ConnectionTable> charged;
  std::size_t size = 0;  // bytes of the request when it was handed over
  MHD_Connection* connection = nullptr;
  Request received;
  Response answer;
  std::function<void()> on_abandoned;
  base::Micros since{};
  std::size_t body_limit = 0;     // bytes to be kept of the body
  std::size_t received_body = 0;  // bytes of the body, those dropped included
  bool too_large = false;
  bool dropped = false;  // its connection is being closed for a limit
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
  ConnectionLimits limits;
  // The answer to a request that there is no room for; it has not run.
  // Unset: 503.
  std::function<Response(const Request&)> on_no_room;
  // Interval of checks for callers that hung up.
  base::Micros sweep_period = std::chrono::milliseconds(50);
  // Counts and logs the requests that no handler answered and the connections
  // that were closed for a limit; null: does neither.
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
  // For connections and requests from now on.
  void SetLimits(const ConnectionLimits& limits, std::size_t max_body);

 private:
  friend class Exchange;
  struct Callbacks;
  struct Connection;

  void RunPending();
  void FindAbandoned();
  void CloseOverLimits();
  void CloseExpired();
  void Close(ConnectionTable::Handle entry, CloseReason reason);
  void SetPhase(const Connection& connection, Phase phase);
  void SetHeld(const Connection& connection, std::size_t bytes);
  void ReplyUnanswered(Exchange& exchange) const;
  void NoteCut(const Request& request,
               int status,
               std::string_view reason) const;
  void NoteClosed(const ConnectionTable::Entry& entry,
                  CloseReason reason) const;

  std::function<void(ExchangePtr)> handler;
  std::function<Response(const Request&)> on_no_room;
  std::size_t max_body;
  base::Counters* counters;
  // Shared with exchanges that outlive their connection.
  std::shared_ptr<ConnectionTable> table;
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
