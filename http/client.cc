#include "http/client.h"

#include <algorithm>
#include <utility>

#include <curl/curl.h>

#include "base/event_log.h"
#include "http/client_callbacks.h"
#include "http/url.h"

namespace quartzhoist::http {

namespace {

constexpr std::size_t kMaxIdleHandles = 256;
// After a silence on a used connection its siblings are passed over for so
// long: until those that are dead as well have been found by their probes.
constexpr base::Micros kFreshAfterSilence = std::chrono::seconds(3);
// The library's own limit: an idle connection is not used after so long.
constexpr long kMaxIdleSeconds = 118;

bool IsChunked(const Headers& headers) {
  const std::string* coding = FindHeader(headers, "Transfer-Encoding");
  return coding && SameName(*coding, "chunked");
}

bool SaysClose(const Headers& headers) {
  const std::string* connection = FindHeader(headers, "Connection");
  return connection && SameName(*connection, "close");
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
  call.is_connection_kept = code == CURLE_OK && !call.over_limit &&
                            !call.closes_connection &&
                            !SaysClose(call.response.headers);
  result.local_port = call.is_connection_kept ? call.local_port : 0;
  result.lacks_mark = call.lacks_mark;
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
  if (connects > 0)
    return;
  const std::string host = HostOf(call.request.url);
  this->fresh_until[host] = base::MonotonicNow() + kFreshAfterSilence;
  this->marked.erase(host);
}

void Client::MarkConnection(const std::string& host,
                            int local_port,
                            const std::string& mark) {
  if (local_port > 0)
    this->marked[host][local_port].mark = mark;
}

bool Client::HasIdleConnection(const std::string& host,
                               const std::string& mark) const {
  const auto found = this->marked.find(host);
  return found != this->marked.end() &&
         std::any_of(found->second.begin(), found->second.end(),
                     [&mark](const auto& entry) {
                       return !entry.second.is_in_use &&
                              entry.second.mark == mark;
                     });
}

Client::MarkedConnection* Client::FindMarked(const std::string& host,
                                             int local_port) {
  const auto connections = this->marked.find(host);
  if (connections == this->marked.end())
    return nullptr;
  const auto found = connections->second.find(local_port);
  return found == connections->second.end() ? nullptr : &found->second;
}

// False if the request may not go out on this connection. A new connection may
// have the port of one that was closed.
bool Client::UseConnection(Call& call, int local_port) {
  long connects = 0;
  curl_easy_getinfo(call.easy, CURLINFO_NUM_CONNECTS, &connects);
  this->ReleaseConnection(call);
  call.local_port = local_port;
  if (connects > 0)
    this->ReleaseConnection(call);
  MarkedConnection* connection =
      this->FindMarked(HostOf(call.request.url), local_port);
  if (connection)
    connection->is_in_use = true;
  call.lacks_mark = !call.request.mark.empty() &&
                    (!connection || connection->mark != call.request.mark);
  return !call.lacks_mark;
}

// Forgets the mark of a connection that is closed.
void Client::ReleaseConnection(const Call& call) {
  const auto connections = this->marked.find(HostOf(call.request.url));
  if (call.local_port == 0 || connections == this->marked.end())
    return;
  const auto found = connections->second.find(call.local_port);
  if (found == connections->second.end())
    return;
  if (call.is_connection_kept)
    found->second.is_in_use = false;
  else
    connections->second.erase(found);
  if (connections->second.empty())
    this->marked.erase(connections);
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
  this->ReleaseConnection(*call);
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
