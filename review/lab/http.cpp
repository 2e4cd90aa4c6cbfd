#include "lab/http.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <cstdlib>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <thread>
#include <utility>

namespace review {

namespace {

constexpr int kBacklog = 256;
constexpr std::size_t kMaxHead = 65'536;

std::string Unescape(const std::string& text) {
  std::string plain;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      plain += text[i];
    }
  }
  return plain;
}

bool SendAll(int fd, const std::string& text) {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const ssize_t n =
        send(fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void ParseHeaders(const std::string& head,
                  std::size_t at,
                  std::map<std::string, std::string>& headers) {
  while (at < head.size()) {
    const std::size_t end = std::min(head.find("\r\n", at), head.size());
    const std::string line = head.substr(at, end - at);
    at = end + 2;
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos)
      continue;
    std::string name = line.substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    const std::size_t value = line.find_first_not_of(' ', colon + 1);
    headers[name] = value == std::string::npos ? "" : line.substr(value);
  }
}

void ParseTarget(const std::string& target, Request& request) {
  const std::size_t mark = target.find('?');
  request.path = target.substr(0, mark);
  std::string rest =
      mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string one = rest.substr(0, end);
    rest.erase(0, end + 1);
    const std::size_t equals = one.find('=');
    if (equals != std::string::npos)
      request.query[one.substr(0, equals)] = Unescape(one.substr(equals + 1));
  }
}

// Reads a head and a body of Content-Length bytes. `buffer` keeps what follows.
std::optional<std::pair<std::string, std::string>> ReadMessage(
    int fd,
    std::string& buffer) {
  char piece[16'384];
  std::size_t head_end = std::string::npos;
  while ((head_end = buffer.find("\r\n\r\n")) == std::string::npos) {
    const ssize_t n = recv(fd, piece, sizeof piece, 0);
    if (n <= 0 || buffer.size() > kMaxHead)
      return std::nullopt;
    buffer.append(piece, static_cast<std::size_t>(n));
  }
  const std::string head = buffer.substr(0, head_end);
  std::map<std::string, std::string> headers;
  ParseHeaders(head, head.find("\r\n") + 2, headers);
  const auto length = headers.find("content-length");
  const std::size_t size =
      length == headers.end() ? 0 : std::stoul(length->second);
  const std::size_t begin = head_end + 4;
  while (buffer.size() < begin + size) {
    const ssize_t n = recv(fd, piece, sizeof piece, 0);
    if (n <= 0)
      return std::nullopt;
    buffer.append(piece, static_cast<std::size_t>(n));
  }
  const std::string body = buffer.substr(begin, size);
  buffer.erase(0, begin + size);
  return std::pair(head, body);
}

sockaddr_in Loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace

struct Server::State {
  Handler handler;
  int listener = -1;
  int port = 0;
  std::mutex lock;
  std::condition_variable changed;
  std::set<int> open;    // connections
  std::set<int> doomed;  // of them, those that get no answer any more
  bool ending = false;
  std::thread acceptor;

  bool IsDoomed(int fd) {
    const std::lock_guard guard(this->lock);
    return this->doomed.contains(fd);
  }

  void Close(int fd) {
    const std::lock_guard guard(this->lock);
    close(fd);
    this->open.erase(fd);
    this->doomed.erase(fd);
    this->changed.notify_all();
  }

  void Serve(int fd) {
    std::string buffer;
    while (const auto message = ReadMessage(fd, buffer)) {
      const auto& [head, body] = *message;
      Request request;
      const std::size_t first = head.find(' ');
      const std::size_t second = head.find(' ', first + 1);
      request.method = head.substr(0, first);
      ParseTarget(head.substr(first + 1, second - first - 1), request);
      ParseHeaders(head, head.find("\r\n") + 2, request.headers);
      request.body = body;
      const Response response = this->handler(request);
      if (response.status == 0 || this->IsDoomed(fd))
        break;
      const bool sent =
          SendAll(fd, "HTTP/1.1 " + std::to_string(response.status) +
                          " X\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(response.body.size()) + "\r\n\r\n" +
                          response.body);
      if (!sent)
        break;
    }
    this->Close(fd);
  }
};

Server::Server(Handler handler) : state(std::make_shared<State>()) {
  this->state->handler = std::move(handler);
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof address;
  const bool listens =
      bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
      listen(fd, kBacklog) == 0 &&
      getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  if (!listens)
    throw std::runtime_error("cannot listen on a loopback port");
  this->state->listener = fd;
  this->state->port = ntohs(address.sin_port);
  this->state->acceptor = std::thread([state = this->state] {
    while (true) {
      const int caller =
          accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
      if (caller < 0)
        return;
      const int on = 1;
      setsockopt(caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      const std::lock_guard guard(state->lock);
      if (state->ending) {
        close(caller);
        return;
      }
      state->open.insert(caller);
      std::thread([state, caller] { state->Serve(caller); }).detach();
    }
  });
}

Server::~Server() {
  {
    const std::lock_guard guard(this->state->lock);
    this->state->ending = true;
  }
  shutdown(this->state->listener, SHUT_RDWR);
  this->state->acceptor.join();
  close(this->state->listener);
  this->CloseConnections();
  std::unique_lock guard(this->state->lock);
  this->state->changed.wait(guard,
                            [this] { return this->state->open.empty(); });
}

std::string Server::address() const {
  return "127.0.0.1:" + std::to_string(this->state->port);
}

// Only a connection's own thread closes its descriptor.
void Server::CloseConnections() {
  const std::lock_guard guard(this->state->lock);
  for (const int fd : this->state->open) {
    this->state->doomed.insert(fd);
    shutdown(fd, SHUT_RDWR);
  }
}

Response Call(const std::string& address,
              const std::string& method,
              const std::string& target,
              const std::map<std::string, std::string>& headers,
              const std::string& body,
              int timeout_ms) {
  Response none{.status = 0, .body = ""};
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{.tv_sec = timeout_ms / 1000,
                      .tv_usec = timeout_ms % 1000 * 1000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  const sockaddr_in to =
      Loopback(std::atoi(address.substr(address.find(':') + 1).c_str()));
  std::string text = method + " " + target + " HTTP/1.1\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::string buffer;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 &&
      SendAll(fd, text)) {
    if (const auto message = ReadMessage(fd, buffer)) {
      none.status = std::atoi(message->first.substr(9, 3).c_str());
      none.body = message->second;
    }
  }
  close(fd);
  return none;
}

}  // namespace review
