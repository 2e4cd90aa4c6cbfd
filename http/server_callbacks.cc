#include "http/server_callbacks.h"

#include <charconv>
#include <utility>

#include <fmt/format.h>

#include "base/clock.h"

namespace quartzhoist::http {

namespace {

constexpr int kPayloadTooLarge = 413;
constexpr int kUnavailable = 503;

// A body over the limit is read on for this many times the limit, so that its
// sender gets an answer; one that is longer has its connection closed.
constexpr std::size_t kDiscardedTimesLimit = 2;

MHD_Result CollectHeader(void* cls,
                         MHD_ValueKind,
                         const char* key,
                         const char* value) {
  auto* headers = static_cast<Headers*>(cls);
  headers->push_back({.name = key, .value = value ? value : ""});
  return MHD_YES;
}

// Bytes that a request takes in this process.
std::size_t SizeOf(const Request& request) {
  std::size_t size =
      sizeof(Exchange) + request.path.size() + request.body.capacity();
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

void Server::Callbacks::OnConnection(void* cls,
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

void* Server::Callbacks::BeginUri(void* cls,
                                  const char* uri,
                                  MHD_Connection* connection) {
  static_cast<Server*>(cls)->SetPhase(Connection::Of(connection),
                                      Phase::kReceiving);
  return new Slot{.path = uri, .exchange = nullptr};
}

MHD_Result Server::Callbacks::Access(void* cls,
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

void Server::Callbacks::Completed(void* cls,
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

void Server::Callbacks::Begin(Server& server,
                              Slot& slot,
                              MHD_Connection* raw,
                              const char* method) {
  slot.exchange = std::make_shared<Exchange>(server);
  ++server.reading;
  Exchange& exchange = *slot.exchange;
  exchange.connection = raw;
  exchange.received.method = method;
  exchange.received.path = std::move(slot.path);
  exchange.received.headers.reserve(8);
  MHD_get_connection_values(raw, MHD_HEADER_KIND, CollectHeader,
                            &exchange.received.headers);
  exchange.body_limit = server.max_body;
  Connection& connection = Connection::Of(raw);
  connection.exchange = slot.exchange;
  // The kernel still has what came before the connection was shut down.
  exchange.dropped = connection.is_closing;
  if (exchange.dropped)
    return;
  server.SetHeld(connection, SizeOf(exchange.received));
  // A request that cannot be taken is refused before its body is read.
  const std::size_t announced = AnnouncedBody(exchange.received.headers);
  exchange.too_large = announced > exchange.body_limit;
  if (exchange.too_large)
    HandOver(server, connection);
  else if (!server.table->HasRoomFor(announced))
    RefuseForRoom(server, connection);
}

void Server::Callbacks::TakeBody(Server& server,
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
  server.SetHeld(connection, SizeOf(exchange.received));
  server.CloseOverLimits();
}

void Server::Callbacks::HandOver(Server& server, Connection& connection) {
  const ExchangePtr exchange = connection.exchange;
  BeginService(server, connection);
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

void Server::Callbacks::RefuseForRoom(Server& server, Connection& connection) {
  BeginService(server, connection);
  Exchange& exchange = *connection.exchange;
  if (server.on_no_room) {
    exchange.Reply(server.on_no_room(exchange.request()));
    return;
  }
  server.NoteCut(exchange.request(), kUnavailable, "no_room");
  exchange.Reply(NoRoom());
}

void Server::Callbacks::BeginService(Server& server, Connection& connection) {
  Exchange& exchange = *connection.exchange;
  exchange.handed_over = true;
  --server.reading;
  exchange.since = base::MonotonicNow();
  ++server.open;
  exchange.size = SizeOf(exchange.received);
  server.SetPhase(connection, Phase::kServing);
}

MHD_Result Server::Callbacks::Send(Server& server,
                                   Connection& connection,
                                   MHD_Connection* raw) {
  Exchange& exchange = *connection.exchange;
  const MHD_Result result = Queue(raw, exchange.answer);
  // The library has its own copy.
  const std::size_t size = exchange.answer.body.size();
  FreeText(exchange.answer.body);
  server.SetHeld(connection, SizeOf(exchange.received) + size);
  server.SetPhase(connection, Phase::kSending);
  server.CloseOverLimits();
  return result;
}

// A handler whose caller has gone keeps what the request was made into until
// it is done.
void Server::Callbacks::Detach(Server& server,
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

}  // namespace quartzhoist::http
