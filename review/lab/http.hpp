// A small HTTP/1.1 server and client for stand-ins: one thread a connection,
// bodies with Content-Length only, loopback addresses only.

#ifndef REVIEW_LAB_HTTP_HPP_
#define REVIEW_LAB_HTTP_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace review {

struct Request {
  std::string method;
  std::string path;  // without the query
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
};

struct Response {
  int status = 200;  // 0: no answer
  std::string body = "{}";
};

class Server {
 public:
  using Handler = std::function<Response(const Request&)>;

  // Listens on a free port of 127.0.0.1. A response of status 0 closes the
  // connection without an answer.
  explicit Server(Handler handler);
  // Closes all connections and waits for their handlers.
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  std::string address() const;
  // Closes the connections that are open now. Requests that are being handled
  // get no answer.
  void CloseConnections();

 private:
  struct State;

  std::shared_ptr<State> state;
};

// Sends one request on a connection of its own. Status 0 if no whole answer
// came in time.
Response Call(const std::string& address,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms);

}  // namespace review

#endif  // REVIEW_LAB_HTTP_HPP_
