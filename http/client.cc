#include "http/client.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <charconv>
#include <utility>

#include <curl/curl.h>
#include <fmt/format.h>

#include "base/event_log.h"

namespace quartzhoist::http {

namespace {

// Long enough for a lost SYN to be sent again, short against a deadline.
constexpr long kConnectTimeoutMillis = 1500;
constexpr std::size_t kMaxIdleHandles = 256;
// A connection on which bytes have not been acknowledged for so long is dead:
// open ones may fall silent for good while new ones work.
constexpr unsigned kUserTimeoutMillis = 1500;
// An idle connection is probed after this, and so often again; with the one
// above it is dead a second later.
constexpr int kKeepAliveSeconds = 1;
// After a silence on a used connection its siblings are passed over for so
// long: until those that are dead as well have been found by their probes.
constexpr base::Micros kFreshAfterSilence = std::chrono::seconds(3);
// The library's own limit: an idle connection is not used after so long.
constexpr long kMaxIdleSeconds = 118;

// Headers of an answer, in bytes.
constexpr std::size_t kMaxHeaders = 65'536;

// The kernel's buffer for bytes that this process has not read, for each
// connection. The kernel doubles it for its own records.
constexpr int kReceiveBuffer = 131'072;

// The "ip:port" of "http://ip:port/path".
std::string HostOf(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  const std::size_t end = url.find('/', kScheme.size());
  return url.substr(kScheme.size(), end - kScheme.size());
}

// Its "/path", without the query.
std::string PathOf(const std::string& url) {
  constexpr std::string_view kScheme = "http://";
  const std::size_t begin = url.find('/', kScheme.size());
  return begin == std::string::npos
             ? ""
             : url.substr(begin, url.find('?', begin) - begin);
}

bool IsChunked(const Headers& headers) {
  const std::string* coding = FindHeader(headers, "Transfer-Encoding");
  return coding && SameName(*coding, "chunked");
}

// Does the answer itself tell where it ends? One that ends with its
// connection cannot be told from one cut short.
bool TellsItsEnd(const std::string& method, const Response& response) {
  const bool no_body =
      method == "HEAD" || response.status == 204 || response.status == 304;
  return no_body || FindHeader(response.headers, "Content-Length") ||
         IsChunked(response.headers);
}

// Nothing changes by it, however often it is sent.
bool IsSafe(const std::string& method) {
  return method == "GET" || method == "HEAD";
}

bool IsSuccess(int status) {
  return status / 100 == 2;
}

std::uint64_t InfoBytes(CURL* easy, CURLINFO what) {
  curl_off_t bytes = 0;
  curl_easy_getinfo(easy, what, &bytes);
  return bytes > 0 ? static_cast<std::uint64_t>(bytes) : 0;
}

std::uint64_t InfoLong(CURL* easy, CURLINFO what) {
  long bytes = 0;
  curl_easy_getinfo(easy, what, &bytes);
  return bytes > 0 ? static_cast<std::uint64_t>(bytes) : 0;
}

}  // namespace

struct Client::Call {
  Client* client;
  RequestId id;
  base::Micros sent_at{};
  CURL* easy;
  ClientRequest request;
  std::function<void(ClientResult)> done;
  curl_slist* header_list = nullptr;
  Response response;
  std::size_t header_bytes = 0;
  std::size_t held = 0;  // bytes of the answer
  bool over_limit = false;
  int times_sent = 0;
};

// A socket of the library's that the loop watches.
struct Client::Watched {
  Watched(base::Loop& loop, int fd, int events, Client* client)
      : watcher(loop, fd, events, [client, fd](int ready) {
          client->Act(fd, ready);
        }) {}

  base::IoWatcher watcher;
};

struct Client::Callbacks {
  static int Socket(CURL*, curl_socket_t fd, int what, void* user, void*) {
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

  static int Timeout(CURLM*, long millis, void* user) {
    auto* client = static_cast<Client*>(user);
    if (millis < 0)
      client->timer.Stop();
    else
      client->timer.StartOnce(std::chrono::milliseconds(millis));
    return 0;
  }

  static std::size_t Body(char* data, std::size_t, std::size_t n, void* user) {
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

  static std::size_t HeaderLine(char* data,
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
    call->response.headers.push_back(
        {.name = std::string(line.substr(0, colon)),
         .value = std::string(value)});
    return n;
  }

  // A failure leaves the socket's defaults in place: time-outs still hold.
  static int SocketOptions(void* user, curl_socket_t fd, curlsocktype) {
    const auto* client = static_cast<const Client*>(user);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveSeconds,
               sizeof kKeepAliveSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveSeconds,
               sizeof kKeepAliveSeconds);
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMillis,
               sizeof kUserTimeoutMillis);
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer,
               sizeof kReceiveBuffer);
    if (client->options.reset_on_close) {
      const linger reset{.l_onoff = 1, .l_linger = 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    return CURL_SOCKOPT_OK;
  }

  static int BeforeSending(void* user, char*, char*, int, int) {
    auto* call = static_cast<Call*>(user);
    if (call->request.may_send && !call->request.may_send())
      return CURL_PREREQFUNC_ABORT;
    ++call->times_sent;
    return CURL_PREREQFUNC_OK;
  }

  static void SetMethod(CURL* easy, const ClientRequest& request) {
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

  static void SetHeaders(Call& call) {
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

  static void SetOptions(Call& call) {
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
    if (call.request.fresh_connection ||
        call.client->WantsFresh(HostOf(call.request.url))) {
      curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
      // Kept, each would stay open until the server has no room for more.
      curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
  }
};

Client::Client(base::Loop& on, const Options& chosen)
    : loop(on),
      options(chosen),
      multi(curl_multi_init()),
      timer(on, [this] { this->Act(CURL_SOCKET_TIMEOUT, 0); }) {
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Callbacks::Socket);
  curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Callbacks::Timeout);
  curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(this->multi, CURLMOPT_PIPELINING, CURLPIPE_NOTHING);
  curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS,
                    this->options.max_idle_connections);
  curl_multi_setopt(this->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                    this->options.max_connections);
  if (!this->options.answers)
    this->options.answers = std::make_shared<ByteBudget>();
}

Client::Client(base::Loop& on) : Client(on, Options()) {}

Client::~Client() {
  while (!this->calls.empty())
    this->Release(this->calls.begin()->first);
  for (void* easy : this->idle_handles)
    curl_easy_cleanup(easy);
  curl_multi_cleanup(this->multi);
}

RequestId Client::Send(ClientRequest request,
                       std::function<void(ClientResult)> done) {
  auto call = std::make_unique<Call>();
  call->client = this;
  call->id = ++this->last_id;
  call->sent_at = base::MonotonicNow();
  call->request = std::move(request);
  call->done = std::move(done);
  if (this->idle_handles.empty()) {
    call->easy = curl_easy_init();
  } else {
    call->easy = this->idle_handles.back();
    this->idle_handles.pop_back();
  }
  Callbacks::SetOptions(*call);
  Callbacks::SetMethod(call->easy, call->request);
  Callbacks::SetHeaders(*call);
  CURL* easy = call->easy;
  const RequestId id = call->id;
  this->calls.emplace(id, std::move(call));
  // The library starts it from its timer, so `done` is never called in here.
  curl_multi_add_handle(this->multi, easy);
  return id;
}

void Client::Cancel(RequestId id) {
  this->Release(id);
}

// A `done` may send anew: only what is there now is given up.
void Client::GiveUpAll() {
  std::vector<RequestId> ids;
  for (const auto& [id, call] : this->calls)
    ids.push_back(id);
  for (const RequestId id : ids) {
    const auto found = this->calls.find(id);
    if (found != this->calls.end())
      this->Complete(*found->second, CURLE_OPERATION_TIMEDOUT);
  }
}

void Client::GiveUpSilent(const std::string& host, base::Micros limit) {
  const base::Micros now = base::MonotonicNow();
  std::vector<RequestId> ids;
  for (const auto& [id, call] : this->calls) {
    if (now - call->sent_at > limit && HostOf(call->request.url) == host)
      ids.push_back(id);
  }
  this->fresh_until[host] = now + kFreshAfterSilence;
  this->silent_at[host] = now;
  for (const RequestId id : ids) {
    const auto found = this->calls.find(id);
    if (found != this->calls.end())
      this->Complete(*found->second, CURLE_OPERATION_TIMEDOUT);
  }
}

void Client::Act(int fd, int events) {
  const int mask = ((events & EV_READ) ? CURL_CSELECT_IN : 0) |
                   ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
  int running = 0;
  this->retired.clear();
  curl_multi_socket_action(this->multi, fd, mask, &running);
  this->Finish();
}

void Client::Finish() {
  int left = 0;
  while (CURLMsg* message = curl_multi_info_read(this->multi, &left)) {
    if (message->msg != CURLMSG_DONE)
      continue;
    char* user = nullptr;
    curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user);
    this->Complete(*reinterpret_cast<Call*>(user), message->data.result);
  }
}

void Client::Complete(Call& call, int curl_code) {
  const auto code = static_cast<CURLcode>(curl_code);
  ClientResult result;
  result.response.status = 0;
  const bool was_repeated = call.times_sent > 1;
  long status = 0;
  curl_easy_getinfo(call.easy, CURLINFO_RESPONSE_CODE, &status);
  call.response.status = static_cast<int>(status);
  const std::uint64_t sent = InfoLong(call.easy, CURLINFO_REQUEST_SIZE);
  this->total_sent += sent;
  this->total_received += InfoLong(call.easy, CURLINFO_HEADER_SIZE) +
                          InfoBytes(call.easy, CURLINFO_SIZE_DOWNLOAD_T);
  if (code == CURLE_OK && !call.over_limit &&
      TellsItsEnd(call.request.method, call.response)) {
    // The answer to the last of several sends tells that the request was done,
    // but not that it was not.
    const bool is_last_word = !was_repeated || IsSafe(call.request.method) ||
                              IsSuccess(call.response.status);
    result.verdict =
        is_last_word ? base::Verdict::kRan : base::Verdict::kMayHaveRun;
    result.error = is_last_word ? "" : "only the repeated request was answered";
    result.response = std::move(call.response);
  } else {
    result.verdict =
        sent == 0 ? base::Verdict::kNotRun : base::Verdict::kMayHaveRun;
    result.error = call.over_limit    ? "the answer is too long"
                   : code == CURLE_OK ? "the answer does not tell its length"
                                      : curl_easy_strerror(code);
  }
  if (code == CURLE_OPERATION_TIMEDOUT)
    this->NoteSilence(call);
  if (was_repeated)
    this->NoteRepetition(call, result);
  const std::function<void(ClientResult)> done = std::move(call.done);
  this->Release(call.id);
  done(std::move(result));
}

// A used connection that fell silent may have siblings that did as well.
void Client::NoteSilence(const Call& call) {
  long connects = 0;
  curl_easy_getinfo(call.easy, CURLINFO_NUM_CONNECTS, &connects);
  if (connects == 0)
    this->fresh_until[HostOf(call.request.url)] =
        base::MonotonicNow() + kFreshAfterSilence;
}

void Client::NoteRepetition(const Call& call,
                            const ClientResult& result) const {
  if (this->options.counters)
    this->options.counters->Add(base::Counter::kCallsRepeated);
  base::Log(base::Event::kCallRepeated, {{"method", call.request.method},
                                         {"path", PathOf(call.request.url)},
                                         {"host", HostOf(call.request.url)},
                                         {"sends", call.times_sent},
                                         {"status", result.response.status},
                                         {"problem", result.error}});
}

bool Client::WantsFresh(const std::string& host) {
  const auto found = this->fresh_until.find(host);
  if (found == this->fresh_until.end())
    return false;
  if (base::MonotonicNow() < found->second)
    return true;
  this->fresh_until.erase(found);
  return false;
}

// The library counts whole seconds, rounded down. No connection is kept in the
// first kFreshAfterSilence, so that the second less excludes none of later.
long Client::MaxIdleSeconds(const std::string& host) const {
  const auto found = this->silent_at.find(host);
  if (found == this->silent_at.end())
    return kMaxIdleSeconds;
  const auto since = std::chrono::duration_cast<std::chrono::seconds>(
      base::MonotonicNow() - found->second);
  return std::clamp(static_cast<long>(since.count()) - 1, 1L, kMaxIdleSeconds);
}

void Client::TakeBytes(Call& call, std::size_t bytes) {
  call.held += bytes;
  this->receiving += bytes;
  ByteBudget& budget = *this->options.answers;
  budget.used += bytes;
  while (budget.used > budget.limit && this->receiving > 0)
    this->GiveUpLongest();
}

// The library ends the request when its next bytes come, or at its time-out.
void Client::GiveUpLongest() {
  const auto longest = std::max_element(
      this->calls.begin(), this->calls.end(), [](const auto& a, const auto& b) {
        return a.second->held < b.second->held;
      });
  Call& call = *longest->second;
  call.over_limit = true;
  FreeText(call.response.body);
  call.response.headers = Headers();
  this->ReturnBytes(call);
}

void Client::ReturnBytes(Call& call) {
  this->options.answers->used -= call.held;
  this->receiving -= std::exchange(call.held, 0);
}

void Client::Release(RequestId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end())
    return;
  const std::unique_ptr<Call> call = std::move(found->second);
  this->calls.erase(found);
  this->ReturnBytes(*call);
  // Removing an unfinished transfer closes its connection.
  curl_multi_remove_handle(this->multi, call->easy);
  curl_slist_free_all(call->header_list);
  if (this->idle_handles.size() < kMaxIdleHandles) {
    curl_easy_reset(call->easy);
    this->idle_handles.push_back(call->easy);
  } else {
    curl_easy_cleanup(call->easy);
  }
}

}  // namespace quartzhoist::http
