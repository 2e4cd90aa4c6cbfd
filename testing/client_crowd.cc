#include "testing/client_crowd.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>
#include <utility>

#include "base/ip_address.h"

namespace quartzhoist::testing {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t kMaxSendBytes = 65'536;
constexpr auto kNoProgress = std::chrono::seconds(1);
constexpr int kPollMillis = 20;

bool IsTransient(int error) {
  return error == EAGAIN || error == EWOULDBLOCK || error == EINTR ||
         error == EINPROGRESS || error == ENOTCONN;
}

// Whether the other side has closed or reset the connection. What it has
// answered stays unread.
bool HasEnded(int fd) {
  pollfd state{.fd = fd, .events = POLLRDHUP, .revents = 0};
  return poll(&state, 1, 0) > 0 &&
         (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

ClientCrowd::ClientCrowd(CrowdPlan chosen)
    : plan(std::move(chosen)),
      members(static_cast<std::size_t>(plan.connections)) {
  this->sender = std::thread([this] { this->Run(); });
}

ClientCrowd::~ClientCrowd() {
  this->is_ending = true;
  this->sender.join();
  for (Connection& member : this->members) {
    if (member.fd >= 0)
      close(member.fd);
  }
}

void ClientCrowd::Run() {
  for (Connection& member : this->members)
    this->Open(member);
  while (!this->is_ending) {
    bool may_send = false;
    std::vector<pollfd> waiting;
    for (Connection& member : this->members) {
      if (member.fd >= 0 && HasEnded(member.fd)) {
        this->Close(member);
        if (this->plan.reconnects)
          this->Open(member);
      }
      if (member.fd < 0 || !this->Advance(member))
        continue;
      may_send = true;
      waiting.push_back({.fd = member.fd, .events = POLLOUT, .revents = 0});
    }
    if (!may_send)
      this->is_settled = true;
    const bool is_paced = this->plan.byte_interval.count() > 0;
    if (!may_send || is_paced)
      std::this_thread::sleep_for(std::chrono::milliseconds(kPollMillis));
    else
      poll(waiting.data(), waiting.size(), kPollMillis);
  }
}

void ClientCrowd::Open(Connection& connection) {
  const sockaddr_in to =
      base::ToKernel(base::ParseIpAddress(this->plan.address).value());
  connection = {
      .fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0),
      .sent = 0,
      .progress = Clock::now()};
  // It goes on without blocking; what fails shows as an ended connection.
  static_cast<void>(connect(connection.fd,
                            reinterpret_cast<const sockaddr*>(&to), sizeof to));
}

void ClientCrowd::Close(Connection& connection) {
  close(std::exchange(connection.fd, -1));
  ++this->closed_count;
}

bool ClientCrowd::Advance(Connection& connection) {
  const auto now = Clock::now();
  const std::string_view rest =
      std::string_view(this->plan.message).substr(connection.sent);
  if (rest.empty())
    return false;
  const bool is_paced = this->plan.byte_interval.count() > 0;
  if (is_paced && now - connection.progress < this->plan.byte_interval)
    return true;
  const std::size_t size = is_paced ? 1 : std::min(rest.size(), kMaxSendBytes);
  const ssize_t sent = send(connection.fd, rest.data(), size, MSG_NOSIGNAL);
  if (sent > 0) {
    connection.sent += static_cast<std::size_t>(sent);
    connection.progress = now;
    return true;
  }
  if (sent < 0 && !IsTransient(errno))
    return false;
  return now - connection.progress < kNoProgress;
}

}  // namespace quartzhoist::testing
