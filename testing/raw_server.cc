#include "testing/raw_server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

#include "base/bound_socket.h"

namespace quartzhoist::testing {

namespace {

constexpr std::size_t kReadBytes = 4096;

}  // namespace

RawServer::RawServer(base::Loop& on, std::function<Answer(int)> with)
    : loop(on), answer(std::move(with)) {
  const base::BoundSocket opened =
      base::OpenListener({.ip = "127.0.0.1", .port = 0});
  this->listener = opened.fd;
  this->bound_port = opened.address.port;
  this->acceptor = std::make_unique<base::IoWatcher>(
      loop, this->listener, EV_READ, [this](int) { this->Accept(); });
}

RawServer::~RawServer() {
  for (const auto& [fd, watcher] : this->watchers)
    close(fd);
  this->StopListening();
}

void RawServer::StopListening() {
  if (!this->acceptor)
    return;
  this->acceptor.reset();
  close(this->listener);
}

void RawServer::Accept() {
  const int fd = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (fd < 0)
    return;
  ++this->connection_count;
  this->watchers[fd] = std::make_unique<base::IoWatcher>(
      this->loop, fd, EV_READ, [this, fd](int) { this->Read(fd); });
}

void RawServer::Read(int fd) {
  std::array<char, kReadBytes> buffer{};
  const ssize_t got = recv(fd, buffer.data(), buffer.size(), 0);
  bool ends = got <= 0;
  if (got > 0)
    this->received[fd].append(buffer.data(), static_cast<std::size_t>(got));
  // Requests of these tests have no body.
  if (this->received[fd].find("\r\n\r\n") != std::string::npos) {
    this->received[fd].clear();
    const Answer reply = this->answer(++this->count);
    if (!reply.bytes.empty())
      send(fd, reply.bytes.data(), reply.bytes.size(), MSG_NOSIGNAL);
    ends = ends || reply.close;
  }
  if (!ends)
    return;
  // This runs inside the watcher: it is destroyed at the next end.
  this->watchers[fd]->Stop();
  this->retired = std::move(this->watchers[fd]);
  this->watchers.erase(fd);
  this->received.erase(fd);
  close(fd);
}

}  // namespace quartzhoist::testing
