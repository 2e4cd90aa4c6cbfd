// A loopback link to a server that can fall silent, without a reset, so that
// only a time limit shows it, or become narrow.

#ifndef TESTING_TCP_LINK_H_
#define TESTING_TCP_LINK_H_

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "base/ip_address.h"
#include "base/loop.h"

namespace quartzhoist::testing {

class TcpLink {
 public:
  // `server` is ip:port.
  TcpLink(base::Loop& loop, const std::string& server);
  ~TcpLink();
  TcpLink(const TcpLink&) = delete;
  TcpLink& operator=(const TcpLink&) = delete;

  std::string address() const { return base::ToText(this->bound); }

  // The connections that are open now pass nothing any more, for good; new ones
  // work.
  void SilenceOpen();
  // Nothing passes, on old connections or on new ones, until Join.
  void Cut() { this->is_cut = true; }
  // Passes so many bytes a second in each direction, over all connections; 0:
  // without a limit.
  void SetRate(std::size_t bytes_per_second);
  // New connections work; those from before stay silent.
  void Join();

 private:
  struct Connection {
    int caller = -1;
    int server = -1;
    bool silent = false;
    std::unique_ptr<base::IoWatcher> from_caller;
    std::unique_ptr<base::IoWatcher> from_server;
  };

  void Accept();
  void Pass(Connection& connection, bool from_caller);
  void Refill();
  void Close(Connection& connection);

  base::Loop& loop;
  base::IpAddress server;
  base::IpAddress bound;
  int listener = -1;
  bool is_cut = false;
  std::size_t rate = 0;  // bytes a second; 0: not limited
  // Bytes that may pass until the next refill.
  std::size_t budget_to_server = 0;
  std::size_t budget_to_caller = 0;
  base::Timer refill_timer;
  std::vector<std::unique_ptr<Connection>> open;
  // A connection's own callback may close it: kept until the next one comes.
  std::vector<std::unique_ptr<Connection>> closed;
  std::unique_ptr<base::IoWatcher> acceptor;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_TCP_LINK_H_
