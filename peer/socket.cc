#include "peer/socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <stdexcept>
#include <utility>
#include <vector>

#include "base/bound_socket.h"
#include "base/ip_address.h"

namespace quartzhoist::peer {

namespace {

constexpr std::size_t kMaxDatagram = 65'536;
// Datagrams taken in one turn, so that a flood leaves time for the rest.
constexpr int kMaxReceivesATurn = 256;

}  // namespace

Socket::Socket(base::Loop& loop, const std::string& address, Receive on_receive)
    : receive(std::move(on_receive)) {
  const std::optional<base::IpAddress> parsed = base::ParseIpAddress(address);
  if (!parsed)
    throw std::runtime_error(address + " is not an IP number and port");
  const base::BoundSocket opened = base::OpenDatagram(*parsed);
  this->fd = opened.fd;
  this->bound = base::ToText(opened.address);
  this->watcher = std::make_unique<base::IoWatcher>(
      loop, this->fd, EV_READ, [this](int) { this->ReceiveAll(); });
}

Socket::~Socket() {
  this->watcher.reset();
  close(this->fd);
}

void Socket::Send(const std::string& to, const std::string& datagram) {
  const std::optional<base::IpAddress> parsed = base::ParseIpAddress(to);
  if (!parsed)
    return;
  const sockaddr_in kernel = base::ToKernel(*parsed);
  const ssize_t done =
      sendto(this->fd, datagram.data(), datagram.size(), MSG_DONTWAIT,
             reinterpret_cast<const sockaddr*>(&kernel), sizeof kernel);
  if (done > 0)
    this->sent += static_cast<std::uint64_t>(done);
}

void Socket::ReceiveAll() {
  std::vector<char> buffer(kMaxDatagram);
  for (int i = 0; i < kMaxReceivesATurn; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const ssize_t got =
        recvfrom(this->fd, buffer.data(), buffer.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr*>(&from), &size);
    if (got < 0)
      return;
    this->received += static_cast<std::uint64_t>(got);
    this->receive(base::ToText(base::FromKernel(from)),
                  std::string(buffer.data(), static_cast<std::size_t>(got)));
  }
}

}  // namespace quartzhoist::peer
