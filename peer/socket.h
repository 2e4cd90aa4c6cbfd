// The daemon's UDP socket: datagrams in and out, by "ip:port".

#ifndef PEER_SOCKET_H_
#define PEER_SOCKET_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "base/loop.h"

namespace quartzhoist::peer {

class Socket {
 public:
  using Receive =
      std::function<void(const std::string& from, const std::string& datagram)>;

  // Throws std::runtime_error if the address cannot be bound. Port 0: the
  // kernel chooses.
  Socket(base::Loop& loop, const std::string& address, Receive receive);
  ~Socket();
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;

  // "ip:port" as bound.
  const std::string& address() const { return this->bound; }
  // A datagram that cannot be sent is lost, like one lost on the way.
  void Send(const std::string& to, const std::string& datagram);

  std::uint64_t bytes_sent() const { return this->sent; }
  std::uint64_t bytes_received() const { return this->received; }

 private:
  void ReceiveAll();

  int fd = -1;
  Receive receive;
  std::string bound;
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::unique_ptr<base::IoWatcher> watcher;
};

}  // namespace quartzhoist::peer

#endif  // PEER_SOCKET_H_
