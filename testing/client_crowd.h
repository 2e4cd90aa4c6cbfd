// Clients that hold a server's resources: many raw connections that each send
// the same bytes, as far as the server takes them, and stay open.

#ifndef TESTING_CLIENT_CROWD_H_
#define TESTING_CLIENT_CROWD_H_

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

namespace quartzhoist::testing {

struct CrowdPlan {
  std::string address;  // ip:port
  int connections = 0;
  std::string message;  // what each connection sends
  // Interval between the bytes of a connection; 0: as fast as it goes.
  std::chrono::milliseconds byte_interval{0};
  // A connection that the server closes is opened again.
  bool reconnects = false;
};

class ClientCrowd {
 public:
  // Sends from a thread of its own. Reads nothing.
  explicit ClientCrowd(CrowdPlan plan);
  // Closes all connections.
  ~ClientCrowd();
  ClientCrowd(const ClientCrowd&) = delete;
  ClientCrowd& operator=(const ClientCrowd&) = delete;

  // Whether each connection has sent all, was closed by the server, or has not
  // got a byte through for a second.
  bool settled() const { return this->is_settled; }
  // Connections closed by the server so far.
  int closed() const { return this->closed_count; }

 private:
  struct Connection {
    int fd = -1;
    std::size_t sent = 0;
    std::chrono::steady_clock::time_point progress;
  };

  void Run();
  void Open(Connection& connection);
  void Close(Connection& connection);
  // Whether the connection may yet send.
  bool Advance(Connection& connection);

  CrowdPlan plan;
  std::vector<Connection> members;
  std::atomic<bool> is_settled = false;
  std::atomic<bool> is_ending = false;
  std::atomic<int> closed_count = 0;
  std::thread sender;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_CLIENT_CROWD_H_
