#include "http/client_callbacks.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "http/url.h"

namespace quartzhoist::http {

namespace {

// Long enough for a lost SYN to be sent again, short against a deadline.
constexpr long kConnectTimeoutMillis = 1500;
// A connection on which bytes have not been acknowledged for so long is dead:
// open ones may fall silent for good while new ones work.
constexpr unsigned kUserTimeoutMillis = 1500;
// An idle connection is probed after this, and so often again; with the one
// above it is dead a second later.
constexpr int kKeepAliveSeconds = 1;

// Headers of an answer, in bytes.
constexpr std::size_t kMaxHeaders = 65'536;

// The kernel's buffer for bytes that this process has not read, for each
// connection. The kernel doubles it for its own records.
constexpr int kReceiveBuffer = 131'072;

}  // namespace

int Client::Callbacks::Socket(CURL*,
                              curl_socket_t fd,
                              int what,
                              void* user,
                              void*) {
  auto* client = static_cast<Client*>(user);
  auto found = client->sockets.find(fd);
  if (what == CURL_POLL_REMOVE) {
    if (found != client->sockets.end()) {
      // The watcher's own callback may be what led here: it is destroyed
      // at the next turn.
      found->second->watcher.Stop();
      client->retired.push_back(std::move(found->second));
      client->sockets.erase(found);
    }
    return 0;
  }
  const int events = ((what & CURL_POLL_IN) ? EV_READ : 0) |
                     ((what & CURL_POLL_OUT) ? EV_WRITE : 0);
  if (found == client->sockets.end()) {
    client->sockets.emplace(
        fd, std::make_unique<Watched>(client->loop, fd, events, client));
  } else {
    found->second->watcher.SetEvents(events);
  }
  return 0;
}

int Client::Callbacks::Timeout(CURLM*, long millis, void* user) {
  auto* client = static_cast<Client*>(user);
  if (millis < 0)
    client->timer.Stop();
  else
    client->timer.StartOnce(std::chrono::milliseconds(millis));
  return 0;
}

std::size_t Client::Callbacks::Body(char* data,
                                    std::size_t,
                                    std::size_t n,
                                    void* user) {
  auto* call = static_cast<Call*>(user);
  std::string& body = call->response.body;
  if (body.size() + n > call->client->options.max_answer)
    call->over_limit = true;
  if (call->over_limit)
    return 0;
  const std::size_t capacity = body.capacity();
  body.append(data, n);
  call->client->TakeBytes(*call, body.capacity() - capacity);
  return call->over_limit ? 0 : n;
}

std::size_t Client::Callbacks::HeaderLine(char* data,
                                          std::size_t,
                                          std::size_t n,
                                          void* user) {
  auto* call = static_cast<Call*>(user);
  call->header_bytes += n;
  if (call->header_bytes > kMaxHeaders)
    call->over_limit = true;
  if (call->over_limit)
    return 0;
  call->client->TakeBytes(*call, n + sizeof(Header));
  if (call->over_limit)
    return 0;
  std::string_view line(data, n);
  while (!line.empty() && (line.back() == '\r' || line.back() == '\n'))
    line.remove_suffix(1);
  // A status line starts anew: what came before was an interim answer.
  if (line.starts_with("HTTP/")) {
    call->response.headers.clear();
    return n;
  }
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos)
    return n;
  std::string_view value = line.substr(colon + 1);
  while (!value.empty() && (value.front() == ' ' || value.front() == '\t'))
    value.remove_prefix(1);
  call->response.headers.push_back({.name = std::string(line.substr(0, colon)),
                                    .value = std::string(value)});
  return n;
}

// A failure leaves the socket's defaults in place: time-outs still hold.
int Client::Callbacks::SocketOptions(void* user,
                                     curl_socket_t fd,
                                     curlsocktype) {
  const auto* client = static_cast<const Client*>(user);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds,
             sizeof kKeepAliveSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
             sizeof kKeepAliveSeconds);
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMillis,
             sizeof kUserTimeoutMillis);
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof kReceiveBuffer);
  if (client->options.reset_on_close) {
    const linger reset{.l_onoff = 1, .l_linger = 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  return CURL_SOCKOPT_OK;
}

int Client::Callbacks::BeforeSending(void* user,
                                     char*,
                                     char*,
                                     int,
                                     int local_port) {
  auto* call = static_cast<Call*>(user);
  if (!call->client->UseConnection(*call, local_port))
    return CURL_PREREQFUNC_ABORT;
  if (call->request.may_send && !call->request.may_send())
    return CURL_PREREQFUNC_ABORT;
  ++call->times_sent;
  return CURL_PREREQFUNC_OK;
}

void Client::Callbacks::SetMethod(CURL* easy, const ClientRequest& request) {
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (request.method == "HEAD") {
    curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
  } else if (has_body) {
    curl_easy_setopt(easy, CURLOPT_POST, 1L);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, request.body.data());
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                     static_cast<curl_off_t>(request.body.size()));
  }
  if (request.method != "GET" && request.method != "HEAD")
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request.method.c_str());
}

void Client::Callbacks::SetHeaders(Call& call) {
  curl_slist* list = nullptr;
  bool has_type = false;
  std::string line;
  for (const Header& header : call.request.headers) {
    has_type = has_type || SameName(header.name, "Content-Type");
    line.assign(header.name);
    // The library's own form for a header without a value.
    line += header.value.empty() ? ";" : ": ";
    line += header.value;
    list = curl_slist_append(list, line.c_str());
  }
  list = curl_slist_append(list, "Expect:");
  if (!has_type)
    list = curl_slist_append(list, "Content-Type:");
  call.header_list = list;
  curl_easy_setopt(call.easy, CURLOPT_HTTPHEADER, list);
}

void Client::Callbacks::SetOptions(Call& call) {
  CURL* easy = call.easy;
  curl_easy_setopt(easy, CURLOPT_URL, call.request.url.c_str());
  curl_easy_setopt(easy, CURLOPT_PRIVATE, &call);
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Callbacks::Body);
  curl_easy_setopt(easy, CURLOPT_WRITEDATA, &call);
  curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, &Callbacks::HeaderLine);
  curl_easy_setopt(easy, CURLOPT_HEADERDATA, &call);
  curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, &Callbacks::SocketOptions);
  curl_easy_setopt(easy, CURLOPT_SOCKOPTDATA, call.client);
  curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, &Callbacks::BeforeSending);
  curl_easy_setopt(easy, CURLOPT_PREREQDATA, &call);
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  // Hosts are IP numbers. With a time to keep them, the library walks over
  // all that it has seen after each request: 14% of an owner's processor time
  // with 350 workers.
  curl_easy_setopt(easy, CURLOPT_DNS_CACHE_TIMEOUT, -1L);
  curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
  curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
  curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS, kConnectTimeoutMillis);
  const auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.request.timeout);
  curl_easy_setopt(
      easy, CURLOPT_TIMEOUT_MS,
      static_cast<long>(std::max<std::int64_t>(1, millis.count())));
  curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
                   call.client->MaxIdleSeconds(HostOf(call.request.url)));
  // A marked connection has been answered on since others fell silent.
  const bool wants_fresh = call.request.mark.empty() &&
                           (call.request.fresh_connection ||
                            call.client->WantsFresh(HostOf(call.request.url)));
  if (wants_fresh) {
    curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
    // Kept, each would stay open until the server has no room for more.
    call.closes_connection = !call.request.opens_marked_connection;
    if (call.closes_connection)
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
  }
}

}  // namespace quartzhoist::http
