#include "http/server.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <stdexcept>
#include <system_error>
#include <utility>

#include <fmt/format.h>
#include <microhttpd.h>

#include "base/bound_socket.h"
#include "base/event_log.h"

namespace quartzhoist::http {

namespace {

using std::chrono::milliseconds;

// A suspended connection is not polled by the library, so callers that hang
// up are found by a sweep over the requests that have waited for a while.
constexpr base::Micros kSweepAge = milliseconds(50);

// The library may leave connections ready after one run; this many runs are
// made before the loop gets its turn.
constexpr int kMaxRunsATurn = 64;

constexpr int kPayloadTooLarge = 413;
constexpr int kUnavailable = 503;
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

// A body over the limit is read on for this many times the limit, so that its
// sender gets an answer; one that is longer has its connection closed.
constexpr std::size_t kDiscardedTimesLimit = 2;

// Has the other side closed its connection?
bool HungUp(int fd) {
  char byte;
  const ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got == 0)
    return true;
  return got < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR;
}

MHD_Result CollectHeader(void* cls,
                         MHD_ValueKind,
                         const char* key,
                         const char* value) {
  auto* headers = static_cast<Headers*>(cls);
  headers->push_back({.name = key, .value = value ? value : ""});
  return MHD_YES;
}

// Bytes that the process keeps of a request's head.
std::size_t HeadSize(const Request& request) {
  std::size_t size = sizeof(Exchange) + request.path.size();
  for (const Header& header : request.headers)
    size += sizeof(Header) + header.name.size() + header.value.size();
  return size;
}

// The length that the request announces; 0: none, the body comes in chunks or
// there is none. The library has refused what is no number.
std::size_t AnnouncedBody(const Headers& headers) {
  const std::string* text = FindHeader(headers, "Content-Length");
  std::size_t length = 0;
  if (text)
    std::from_chars(text->data(), text->data() + text->size(), length);
  return length;
}

MHD_Result Queue(MHD_Connection* connection, const Response& response) {
  MHD_Response* raw = MHD_create_response_from_buffer(
      response.body.size(), const_cast<char*>(response.body.data()),
      MHD_RESPMEM_MUST_COPY);
  if (!raw)
    return MHD_NO;
  for (const Header& header : response.headers)
    MHD_add_response_header(raw, header.name.c_str(), header.value.c_str());
  const MHD_Result result = MHD_queue_response(
      connection, static_cast<unsigned>(response.status), raw);
  MHD_destroy_response(raw);
  return result;
}

Response TooLarge(std::size_t limit) {
  Response response{.status = kPayloadTooLarge, .headers = {}, .body = {}};
  response.headers.push_back(
      {.name = "Content-Type", .value = std::string(kProblemJson)});
  response.body = fmt::format(
      R"({{"title":"request too large","status":413,"verdict":"not_run",)"
      R"("detail":"the body is over {} bytes"}})",
      limit);
  return response;
}

Response NoRoom() {
  Response response{.status = kUnavailable, .headers = {}, .body = {}};
  response.headers.push_back({.name = "Retry-After", .value = "1"});
  return response;
}

}  // namespace

// A connection as the server sees it; the library keeps it from the beginning
// to the end.
struct Server::Connection {
  ConnectionTable::Handle entry;
  ExchangePtr exchange;     // null between requests
  bool is_closing = false;  // no longer in the table

  static Connection& Of(MHD_Connection* connection) {
    return *static_cast<Connection*>(
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)
            ->socket_context);
  }
};

// The library's callbacks, apart so that its types stay out of the header.
struct Server::Callbacks {
  // State that the library keeps for one request.
  struct Slot {
    std::string path;
    ExchangePtr exchange;
  };

  static void OnConnection(void* cls,
                           MHD_Connection* connection,
                           void** context,
                           MHD_ConnectionNotificationCode code) {
    auto* server = static_cast<Server*>(cls);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
      const int fd =
          MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD)
              ->connect_fd;
      const auto entry = server->table->Add(fd, base::MonotonicNow());
      entry->owner = *context =
          new Connection{.entry = entry, .exchange = nullptr};
      server->CloseOverLimits();
      return;
    }
    auto* ended = static_cast<Connection*>(*context);
    if (!ended->is_closing)
      server->table->Remove(ended->entry);
    delete ended;
    *context = nullptr;
  }

  static void* BeginUri(void* cls,
                        const char* uri,
                        MHD_Connection* connection) {
    static_cast<Server*>(cls)->SetPhase(Connection::Of(connection),
                                        Phase::kReceiving);
    return new Slot{.path = uri, .exchange = nullptr};
  }

  static MHD_Result Access(void* cls,
                           MHD_Connection* connection,
                           const char* /*url*/,
                           const char* method,
                           const char* /*version*/,
                           const char* upload,
                           std::size_t* upload_size,
                           void** state) {
    auto* server = static_cast<Server*>(cls);
    auto* slot = static_cast<Slot*>(*state);
    // 1. The first call for a request: only its head has been read.
    if (!slot->exchange) {
      Begin(*server, *slot, connection, method);
      if (!slot->exchange->answered && !slot->exchange->dropped)
        return MHD_YES;
    }
    Exchange& exchange = *slot->exchange;
    if (exchange.dropped)
      return MHD_NO;
    // 2. A piece of the body.
    if (*upload_size > 0) {
      TakeBody(*server, Connection::Of(connection), upload, *upload_size);
      *upload_size = 0;
      return exchange.dropped ? MHD_NO : MHD_YES;
    }
    // 3. The request is whole: hand it over, once.
    if (!exchange.handed_over)
      HandOver(*server, Connection::Of(connection));
    // A handler that threw has ended the server without an answer.
    if (server->ending && !exchange.answered)
      server->ReplyUnanswered(exchange);
    // 4. Answer, or wait for the answer with the connection suspended.
    if (exchange.answered) {
      if (exchange.queued)
        return MHD_YES;
      exchange.queued = true;
      // The library closes a connection whose callback says no.
      if (exchange.cut)
        return MHD_NO;
      return Send(*server, Connection::Of(connection), connection);
    }
    if (!exchange.suspended) {
      exchange.suspended = true;
      MHD_suspend_connection(connection);
      server->waiting.push_back(slot->exchange);
    }
    return MHD_YES;
  }

  static void Completed(void* cls,
                        MHD_Connection* connection,
                        void** state,
                        MHD_RequestTerminationCode code) {
    auto* server = static_cast<Server*>(cls);
    auto* slot = static_cast<Slot*>(*state);
    if (!slot)
      return;
    if (slot->exchange) {
      Exchange& exchange = *slot->exchange;
      exchange.suspended = false;
      // A caller that hangs up leaves its exchange abandoned before or here.
      const bool is_cut = exchange.handed_over && !exchange.caller_gone &&
                          code != MHD_REQUEST_TERMINATED_COMPLETED_OK &&
                          code != MHD_REQUEST_TERMINATED_CLIENT_ABORT;
      if (is_cut)
        exchange.server->NoteCut(exchange.request(), 0,
                                 exchange.cut ? "cut" : "not_sent");
      exchange.Abandon();
      if (exchange.handed_over)
        --server->open;
      else
        --server->reading;
      exchange.server = nullptr;
      Detach(*server, exchange, Connection::Of(connection));
    }
    server->SetHeld(Connection::Of(connection), 0);
    server->SetPhase(Connection::Of(connection), Phase::kIdle);
    delete slot;
    *state = nullptr;
  }

  // A handler whose caller has gone keeps what the request was made into until
  // it is done.
  static void Detach(Server& server,
                     Exchange& exchange,
                     Connection& connection) {
    constexpr int kOwnReferences = 2;
    if (exchange.caller_gone &&
        connection.exchange.use_count() > kOwnReferences) {
      exchange.charged = server.table;
      server.table->AddDetached(exchange.size);
    }
    connection.exchange = nullptr;
  }

  static void Begin(Server& server,
                    Slot& slot,
                    MHD_Connection* connection,
                    const char* method) {
    slot.exchange = std::make_shared<Exchange>(server);
    ++server.reading;
    Exchange& exchange = *slot.exchange;
    exchange.connection = connection;
    exchange.received.method = method;
    exchange.received.path = std::move(slot.path);
    exchange.received.headers.reserve(8);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, CollectHeader,
                              &exchange.received.headers);
    exchange.body_limit = server.max_body;
    Connection& on = Connection::Of(connection);
    on.exchange = slot.exchange;
    // The kernel still has what came before the connection was shut down.
    exchange.dropped = on.is_closing;
    if (exchange.dropped)
      return;
    server.SetHeld(on, HeadSize(exchange.received));
    // A request that cannot be taken is refused before its body is read.
    const std::size_t announced = AnnouncedBody(exchange.received.headers);
    exchange.too_large = announced > exchange.body_limit;
    if (exchange.too_large)
      HandOver(server, on);
    else if (!server.table->HasRoomFor(announced))
      RefuseForRoom(server, on);
  }

  static void TakeBody(Server& server,
                       Connection& connection,
                       const char* data,
                       std::size_t size) {
    Exchange& exchange = *connection.exchange;
    std::string& body = exchange.received.body;
    exchange.received_body += size;
    if (exchange.received_body > exchange.body_limit && !exchange.too_large) {
      exchange.too_large = true;
      exchange.ReleaseBody();
    }
    if (exchange.received_body > kDiscardedTimesLimit * exchange.body_limit) {
      server.Close(connection.entry, CloseReason::kBodyTooLarge);
      return;
    }
    if (!exchange.too_large)
      body.append(data, size);
    server.SetHeld(connection, HeadSize(exchange.received) + body.capacity());
    server.CloseOverLimits();
  }

  static void Accept(Server& server, Connection& connection) {
    Exchange& exchange = *connection.exchange;
    exchange.handed_over = true;
    --server.reading;
    exchange.since = base::MonotonicNow();
    ++server.open;
    exchange.size =
        HeadSize(exchange.received) + exchange.received.body.capacity();
    server.SetPhase(connection, Phase::kServing);
  }

  static void RefuseForRoom(Server& server, Connection& connection) {
    Accept(server, connection);
    Exchange& exchange = *connection.exchange;
    if (server.on_no_room) {
      exchange.Reply(server.on_no_room(exchange.request()));
      return;
    }
    server.NoteCut(exchange.request(), kUnavailable, "no_room");
    exchange.Reply(NoRoom());
  }

  static MHD_Result Send(Server& server,
                         Connection& on,
                         MHD_Connection* connection) {
    Exchange& exchange = *on.exchange;
    const MHD_Result result = Queue(connection, exchange.answer);
    // The library has its own copy.
    const std::size_t size = exchange.answer.body.size();
    FreeText(exchange.answer.body);
    server.SetHeld(on, HeadSize(exchange.received) + size);
    server.SetPhase(on, Phase::kSending);
    server.CloseOverLimits();
    return result;
  }

  static void HandOver(Server& server, Connection& connection) {
    const ExchangePtr exchange = connection.exchange;
    Accept(server, connection);
    if (exchange->too_large) {
      server.NoteCut(exchange->request(), kPayloadTooLarge, "body_too_large");
      exchange->Reply(TooLarge(exchange->body_limit));
      return;
    }
    // Read while the server ends: nothing may be left waiting.
    if (server.ending) {
      server.NoteCut(exchange->request(), kUnavailable, "server_ends");
      exchange->Reply({.status = kUnavailable, .headers = {}, .body = {}});
      return;
    }
    server.handler(exchange);
  }
};

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
