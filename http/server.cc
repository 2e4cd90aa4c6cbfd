#include "http/server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

#include <microhttpd.h>

#include "base/bound_socket.h"
#include "base/event_log.h"
#include "http/server_callbacks.h"

namespace quartzhoist::http {

namespace {

using std::chrono::milliseconds;

// A suspended connection is not polled by the library, so callers that hang
// up are found by a sweep over the requests that have waited for a while.
constexpr base::Micros kSweepAge = milliseconds(50);

// The library may leave connections ready after one run; this many runs are
// made before the loop gets its turn.
constexpr int kMaxRunsATurn = 64;

constexpr int kMayHaveRun = 504;

// The library's memory for a connection: the head of a request must fit.
constexpr std::size_t kConnectionMemory = 32'768;

// The kernel's buffers of a connection, for bytes that this process has not
// read and for those that its client has not. The kernel doubles them for its
// own records.
constexpr int kSocketBuffer = 16'384;

// Never reached: the library would leave further ones waiting, while the oldest
// one makes room for them here.
constexpr unsigned kLibraryConnections = 1U << 20U;

// Has the other side closed its connection?
bool HungUp(int fd) {
  char byte;
  const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got == 0)
    return true;
  return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

}  // namespace

Exchange::Exchange(Server& of) : server(&of) {}

Exchange::~Exchange() {
  if (const auto table = this->charged.lock())
    table->RemoveDetached(this->size);
}

void Exchange::ReleaseBody() {
  FreeText(this->received.body);
}

void Exchange::Reply(Response response) {
  if (this->answered)
    return;
  this->answered = true;
  // The action may hold this exchange: keeping it would keep both for ever.
  this->on_abandoned = nullptr;
  this->ReleaseBody();
  if (!this->server)
    return;
  this->answer = std::move(response);
  if (!this->suspended)
    return;
  MHD_resume_connection(this->connection);
  this->server->resumed = true;
}

void Exchange::Cut() {
  this->cut = true;
  this->Reply({});
}

void Exchange::OnAbandoned(std::function<void()> action) {
  this->on_abandoned = std::move(action);
}

void Exchange::Abandon() {
  if (this->answered || !this->handed_over)
    return;
  this->caller_gone = true;
  if (this->on_abandoned)
    std::exchange(this->on_abandoned, nullptr)();
  // Ends the exchange; the connection is closed under the answer.
  this->Reply({.status = 499, .headers = {}, .body = {}});
}

Server::Server(base::Loop& loop,
               const ServerOptions& options,
               std::function<void(ExchangePtr)> on_request)
    : handler(std::move(on_request)),
      on_no_room(options.on_no_room),
      max_body(options.max_body),
      counters(options.counters),
      table(std::make_shared<ConnectionTable>(options.limits)) {
  const base::BoundSocket listener =
      base::OpenListener({.ip = options.address, .port = options.port});
  const int fd = listener.fd;
  this->bound_port = listener.address.port;
  // Accepted connections inherit them.
  setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kSocketBuffer, sizeof kSocketBuffer);
  setsockopt(fd, SOL_SOCKET, SO_SNDBUF, &kSocketBuffer, sizeof kSocketBuffer);
  // The library's own limit of time is not used: each byte prolongs it.
  this->daemon = MHD_start_daemon(
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr, nullptr,
      &Callbacks::Access, this, MHD_OPTION_LISTEN_SOCKET, fd,
      MHD_OPTION_NOTIFY_CONNECTION, &Callbacks::OnConnection, this,
      MHD_OPTION_URI_LOG_CALLBACK, &Callbacks::BeginUri, this,
      MHD_OPTION_NOTIFY_COMPLETED, &Callbacks::Completed, this,
      MHD_OPTION_CONNECTION_LIMIT, kLibraryConnections,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, kConnectionMemory, MHD_OPTION_END);
  if (!this->daemon) {
    close(fd);
    throw std::runtime_error("cannot start the HTTP server");
  }
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  this->readiness = std::make_unique<base::IoWatcher>(
      loop, info->epoll_fd, EV_READ, [this](int) { MHD_run(this->daemon); });
  // A connection resumed from another library's callback does not make the
  // epoll descriptor ready: run before each wait, or the answer never leaves.
  this->prepare = std::make_unique<base::PrepareWatcher>(
      loop, [this] { this->RunPending(); });
  this->sweep = std::make_unique<base::Timer>(loop, [this] {
    this->FindAbandoned();
    this->CloseExpired();
    MHD_run(this->daemon);
  });
  this->sweep->StartEvery(options.sweep_period);
}

// Requests that the library has read are answered; callers that connect or send
// later find the connection reset, so that they know that nothing was read.
Server::~Server() {
  this->StopListening();
  this->ending = true;
  for (const ExchangePtr& exchange : this->waiting) {
    if (!exchange->answered)
      this->ReplyUnanswered(*exchange);
  }
  for (int runs = 0; runs < kMaxRunsATurn; ++runs) {
    MHD_run(this->daemon);
    if (this->reading == 0 && this->open == 0)
      break;
  }
  this->sweep.reset();
  this->prepare.reset();
  this->readiness.reset();
  MHD_stop_daemon(this->daemon);
}

std::size_t Server::connections() const {
  const MHD_DaemonInfo* info =
      MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info ? info->num_connections : 0;
}

// The library returns the same descriptor again when asked again; its number
// may belong to another connection by then.
void Server::StopListening() {
  if (!std::exchange(this->is_listening, false))
    return;
  const MHD_socket fd = MHD_quiesce_daemon(this->daemon);
  if (fd != MHD_INVALID_SOCKET)
    close(fd);
}

void Server::SetPhase(const Connection& connection, Phase phase) {
  if (!connection.is_closing)
    this->table->SetPhase(connection.entry, phase, base::MonotonicNow());
}

void Server::SetHeld(const Connection& connection, std::size_t bytes) {
  if (!connection.is_closing)
    this->table->SetHeld(connection.entry, bytes);
}

void Server::CloseOverLimits() {
  while (const auto entry = this->table->OverConnections())
    this->Close(*entry, CloseReason::kConnections);
  while (const auto entry = this->table->OverBytes())
    this->Close(*entry, CloseReason::kBytes);
}

void Server::CloseExpired() {
  const base::Micros now = base::MonotonicNow();
  while (const auto entry = this->table->Expired(now))
    this->Close(*entry, CloseReason::kTime);
}

// The library finds the connection shut down at its next run and ends it. What
// its request holds is freed here, since many may be closed before that.
void Server::Close(ConnectionTable::Handle entry, CloseReason reason) {
  auto& connection = *static_cast<Connection*>(entry->owner);
  connection.is_closing = true;
  shutdown(entry->fd, SHUT_RDWR);
  if (connection.exchange) {
    connection.exchange->dropped = true;
    connection.exchange->ReleaseBody();
  }
  this->NoteClosed(*entry, reason);
  this->table->Remove(entry);
}

void Server::SetLimits(const ConnectionLimits& limits, std::size_t body) {
  this->table->SetLimits(limits);
  this->max_body = body;
}

// Idle connections end all the time.
void Server::NoteClosed(const ConnectionTable::Entry& entry,
                        CloseReason reason) const {
  const bool is_routine =
      reason == CloseReason::kTime && entry.phase == Phase::kIdle;
  if (!this->counters || is_routine)
    return;
  this->counters->Add(base::Counter::kConnectionsClosed);
  const auto age = base::MonotonicNow() - entry.since;
  base::Log(base::Event::kConnectionClosed,
            {{"port", this->bound_port},
             {"reason", base::NameOf(kCloseReasonNames, reason)},
             {"phase", base::NameOf(kPhaseNames, entry.phase)},
             {"phase_ms", base::Millis(age)},
             {"bytes", entry.held}});
}

// A resumed connection shows neither in the epoll descriptor nor in the
// library's own time-out: without the flag its answer leaves with the next
// sweep.
void Server::RunPending() {
  bool pending = std::exchange(this->resumed, false);
  for (int runs = 0; runs < kMaxRunsATurn; ++runs) {
    MHD_UNSIGNED_LONG_LONG wait_millis = 0;
    const bool has_timeout =
        MHD_get_timeout(this->daemon, &wait_millis) == MHD_YES;
    if (!pending && (!has_timeout || wait_millis > 0))
      return;
    pending = false;
    MHD_run(this->daemon);
  }
}

// Its handler may have carried it out.
void Server::ReplyUnanswered(Exchange& exchange) const {
  this->NoteCut(exchange.request(), kMayHaveRun, "unanswered");
  exchange.Reply({.status = kMayHaveRun, .headers = {}, .body = {}});
}

void Server::NoteCut(const Request& request,
                     int status,
                     std::string_view reason) const {
  if (!this->counters)
    return;
  this->counters->Add(base::Counter::kRequestsCut);
  base::Log(base::Event::kRequestCut,
            {{"method", request.method},
             {"path", request.path.substr(0, request.path.find('?'))},
             {"status", status},
             {"reason", reason}});
}

void Server::FindAbandoned() {
  const base::Micros now = base::MonotonicNow();
  std::erase_if(this->waiting,
                [](const ExchangePtr& exchange) { return exchange->answered; });
  // Arrival order: the first young one ends the sweep. A copy, since an
  // abandoned request's handler may start others.
  const std::vector<ExchangePtr> old(
      this->waiting.begin(),
      std::find_if(this->waiting.begin(), this->waiting.end(),
                   [now](const ExchangePtr& exchange) {
                     return now - exchange->since < kSweepAge;
                   }));
  for (const ExchangePtr& exchange : old) {
    const MHD_ConnectionInfo* info = MHD_get_connection_info(
        exchange->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    if (info && HungUp(info->connect_fd))
      exchange->Abandon();
  }
}

}  // namespace quartzhoist::http
