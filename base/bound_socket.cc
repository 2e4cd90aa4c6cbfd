#include "base/bound_socket.h"

#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <stdexcept>

#include <fmt/format.h>

namespace quartzhoist::base {

namespace {

constexpr int kBacklog = 1024;

[[noreturn]] void Fail(int fd, const IpAddress& address) {
  const std::string why = std::strerror(errno);
  if (fd >= 0)
    close(fd);
  throw std::runtime_error(
      fmt::format("cannot listen on {}: {}", ToText(address), why));
}

BoundSocket Open(int type, const IpAddress& address) {
  const int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    Fail(fd, address);
  // A box's successor listens where its predecessor did.
  const int on = 1;
  if (type == SOCK_STREAM)
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in kernel = ToKernel(address);
  auto* generic = reinterpret_cast<sockaddr*>(&kernel);
  if (bind(fd, generic, sizeof kernel) != 0)
    Fail(fd, address);
  socklen_t size = sizeof kernel;
  getsockname(fd, generic, &size);
  return {.fd = fd, .address = FromKernel(kernel)};
}

}  // namespace

BoundSocket OpenListener(const IpAddress& address) {
  BoundSocket opened = Open(SOCK_STREAM, address);
  if (listen(opened.fd, kBacklog) != 0)
    Fail(opened.fd, address);
  return opened;
}

BoundSocket OpenDatagram(const IpAddress& address) {
  return Open(SOCK_DGRAM, address);
}

}  // namespace quartzhoist::base
