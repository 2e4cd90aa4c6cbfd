#include "testing/tcp_link.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

#include "base/bound_socket.h"

namespace quartzhoist::testing {

namespace {

constexpr std::size_t kReadBytes = 65'536;
// Short against a round trip on a narrow link.
constexpr base::Micros kRefillPeriod = std::chrono::milliseconds(20);

// The other end reads on the same loop, or in a process of its own: what a test
// sends fits into the socket.
void SendAll(int fd, const char* bytes, std::size_t count) {
  while (count > 0) {
    const ssize_t sent = send(fd, bytes, count, MSG_NOSIGNAL);
    if (sent <= 0)
      return;
    bytes += sent;
    count -= static_cast<std::size_t>(sent);
  }
}

}  // namespace

TcpLink::TcpLink(base::Loop& on, const std::string& to)
    : loop(on),
      server(base::ParseIpAddress(to).value()),
      refill_timer(on, [this] { this->Refill(); }) {
  const base::BoundSocket opened =
      base::OpenListener({.ip = "127.0.0.1", .port = 0});
  this->listener = opened.fd;
  this->bound = opened.address;
  this->acceptor = std::make_unique<base::IoWatcher>(
      on, this->listener, EV_READ, [this](int) { this->Accept(); });
}

TcpLink::~TcpLink() {
  while (!this->open.empty())
    this->Close(*this->open.back());
  this->acceptor.reset();
  close(this->listener);
}

void TcpLink::SilenceOpen() {
  for (const std::unique_ptr<Connection>& connection : this->open)
    connection->silent = true;
}

void TcpLink::Join() {
  this->SilenceOpen();
  this->is_cut = false;
}

void TcpLink::SetRate(std::size_t bytes_per_second) {
  this->rate = bytes_per_second;
  this->Refill();
  if (this->rate > 0)
    this->refill_timer.StartEvery(kRefillPeriod);
  else
    this->refill_timer.Stop();
}

void TcpLink::Refill() {
  const auto periods_per_second =
      static_cast<std::size_t>(std::chrono::seconds(1) / kRefillPeriod);
  this->budget_to_server = this->rate / periods_per_second;
  this->budget_to_caller = this->budget_to_server;
  for (const std::unique_ptr<Connection>& connection : this->open) {
    connection->from_caller->SetEvents(EV_READ);
    connection->from_server->SetEvents(EV_READ);
  }
}

void TcpLink::Accept() {
  this->closed.clear();
  const int caller = accept4(this->listener, nullptr, nullptr, 0);
  if (caller < 0)
    return;
  const int to = socket(AF_INET, SOCK_STREAM, 0);
  const sockaddr_in at = base::ToKernel(this->server);
  if (connect(to, reinterpret_cast<const sockaddr*>(&at), sizeof at) < 0) {
    close(to);
    close(caller);
    return;
  }
  this->open.push_back(std::make_unique<Connection>());
  Connection* made = this->open.back().get();
  made->caller = caller;
  made->server = to;
  made->silent = this->is_cut;
  made->from_caller = std::make_unique<base::IoWatcher>(
      this->loop, caller, EV_READ,
      [this, made](int) { this->Pass(*made, true); });
  made->from_server = std::make_unique<base::IoWatcher>(
      this->loop, to, EV_READ, [this, made](int) { this->Pass(*made, false); });
}

// Bytes beyond the rate of a narrow link stay in the sender's socket, and the
// watcher pauses until the next refill.
void TcpLink::Pass(Connection& connection, bool from_caller) {
  const int from = from_caller ? connection.caller : connection.server;
  const int to = from_caller ? connection.server : connection.caller;
  std::size_t& budget =
      from_caller ? this->budget_to_server : this->budget_to_caller;
  std::array<char, kReadBytes> buffer{};
  std::size_t allowed = buffer.size();
  if (this->rate > 0)
    allowed = std::min(allowed, budget);
  if (allowed == 0) {
    (from_caller ? connection.from_caller : connection.from_server)
        ->SetEvents(0);
    return;
  }
  const ssize_t got = recv(from, buffer.data(), allowed, 0);
  if (got <= 0) {
    this->Close(connection);
    return;
  }
  if (this->rate > 0)
    budget -= static_cast<std::size_t>(got);
  // Bytes that arrive while the link is cut are lost, and all later ones of the
  // connection.
  connection.silent = connection.silent || this->is_cut;
  if (!connection.silent)
    SendAll(to, buffer.data(), static_cast<std::size_t>(got));
}

void TcpLink::Close(Connection& connection) {
  connection.from_caller->Stop();
  connection.from_server->Stop();
  close(connection.caller);
  close(connection.server);
  const auto found =
      std::find_if(this->open.begin(), this->open.end(),
                   [&connection](const std::unique_ptr<Connection>& one) {
                     return one.get() == &connection;
                   });
  this->closed.push_back(std::move(*found));
  this->open.erase(found);
}

}  // namespace quartzhoist::testing
