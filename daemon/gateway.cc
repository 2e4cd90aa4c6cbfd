#include "daemon/gateway.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

#include <fmt/format.h>
#include <xxhash.h>

#include "base/event_log.h"
#include "base/ip_address.h"

namespace quartzhoist::daemon {

namespace {

using base::Counter;
using base::Verdict;
using dispatch::TryOutcome;

constexpr std::string_view kIdempotencyKey = "Idempotency-Key";
// A caller's own deadline, in milliseconds from now.
constexpr std::string_view kTimeoutHeader = "X-Request-Timeout-Ms";
constexpr std::int64_t kMaxTimeoutMs = 86'400'000;
constexpr std::size_t kMaxIdempotencyKey = 255;

constexpr int kTooManyRequests = 429;
constexpr int kUnavailable = 503;
constexpr int kFirstServerError = 500;

// Ticks skipped while nothing is open: an idle daemon wakes ten times less.
constexpr int kIdleTicks = 10;

constexpr base::Micros kStopIdle = std::chrono::milliseconds(300);

// While the platform is out, a caller with an unsafe request comes back after
// this; the daemon itself notices the return within about a second.
constexpr base::Micros kPlatformRetryAfter = std::chrono::seconds(2);

http::ServerOptions CallersOptions(const Settings& settings) {
  const base::IpAddress address =
      base::ParseIpAddress(settings.callers).value();
  return {.address = address.ip,
          .port = address.port,
          .max_body = static_cast<std::size_t>(settings.max_request_kb) * 1024,
          .max_connections = static_cast<unsigned>(settings.max_connections)};
}

http::Client::Options TargetsOptions(const Settings& settings) {
  return {.max_answer =
              static_cast<std::size_t>(settings.max_answer_kb) * 1024};
}

// "/quotes/a4?x=1" names the service "quotes".
std::string ServiceOf(const std::string& path) {
  const std::size_t end = path.find_first_of("/?", 1);
  return path.empty()
             ? ""
             : path.substr(1, end == std::string::npos ? end : end - 1);
}

bool IsIdempotent(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
         method == "PUT" || method == "DELETE";
}

std::uint64_t FingerprintOf(const http::Request& request) {
  XXH64_hash_t hash = XXH64(request.method.data(), request.method.size(), 0);
  hash = XXH64(request.path.data(), request.path.size(), hash);
  return XXH64(request.body.data(), request.body.size(), hash);
}

// How a try ended. A target says "not run" by 429, or by 503 with Retry-After.
TryOutcome Classify(const http::ClientResult& result) {
  if (result.verdict == Verdict::kNotRun)
    return TryOutcome::kNotSent;
  if (result.verdict == Verdict::kMayHaveRun)
    return TryOutcome::kLost;
  const http::Response& response = result.response;
  if (response.status == kTooManyRequests)
    return TryOutcome::kRefused;
  if (response.status == kUnavailable &&
      http::FindHeader(response.headers, "Retry-After"))
    return TryOutcome::kRefused;
  return response.status >= kFirstServerError ? TryOutcome::kFailedAnswer
                                              : TryOutcome::kAnswered;
}

// Headers that end here: those of the connection, and those that the HTTP
// libraries write themselves.
bool IsPassedOn(const http::Header& header) {
  return !http::IsHopByHop(header.name) &&
         !http::SameName(header.name, "Content-Length") &&
         !http::SameName(header.name, "Host");
}

http::Headers PassedOn(const http::Headers& headers) {
  http::Headers kept;
  kept.reserve(headers.size());
  for (const http::Header& header : headers) {
    if (IsPassedOn(header))
      kept.push_back(header);
  }
  return kept;
}

std::optional<std::int64_t> ParseTimeout(const std::string& text) {
  std::int64_t millis = 0;
  const char* end = text.data() + text.size();
  const auto [rest, error] = std::from_chars(text.data(), end, millis);
  if (error != std::errc() || rest != end || millis < 1 ||
      millis > kMaxTimeoutMs)
    return std::nullopt;
  return millis;
}

}  // namespace

Gateway::Gateway(const Settings& settings,
                 base::Counters& counts,
                 std::function<void(ToControl)> tell)
    : counters(counts),
      tell_control(std::move(tell)),
      stop_within(std::chrono::seconds(settings.stop_seconds)),
      mailbox(this->loop,
              [this](ToTraffic message) { this->Receive(std::move(message)); }),
      dispatcher(std::random_device()()),
      client(this->loop, TargetsOptions(settings)),
      server(
          this->loop,
          CallersOptions(settings),
          [this](const http::ExchangePtr& exchange) { this->Begin(exchange); }),
      tick(this->loop, [this] { this->Tick(); }) {
  this->tick.StartEvery(dispatch::Dispatcher::kTickPeriod);
}

Gateway::~Gateway() = default;

void Gateway::Run() {
  this->loop.Run();
}

void Gateway::Receive(ToTraffic message) {
  std::visit([this](const auto& typed) { this->Take(typed); }, message);
  this->Perform();
}

void Gateway::Take(const InstallRoutes& message) {
  this->services.clear();
  for (const table::ServiceRow& row : message.routes->services)
    this->services.emplace(row.name, row);
  this->dispatcher.Install(message.routes, base::MonotonicNow(), this->actions);
}

void Gateway::Take(const AskTrafficState& message) {
  const auto pending = std::count_if(
      this->calls.begin(), this->calls.end(), [](const auto& entry) {
        return entry.second->claim && entry.second->claim_row.empty();
      });
  this->tell_control(
      TrafficState{.ticket = message.ticket,
                   .services = this->dispatcher.ViewServices(),
                   .targets = this->dispatcher.ViewTargets(),
                   .open_requests = this->calls.size(),
                   .claims_pending = static_cast<std::size_t>(pending)});
}

void Gateway::Take(const StopTraffic&) {
  this->stopping = true;
  this->stop_at = base::MonotonicNow() + this->stop_within;
  this->idle_since = base::MonotonicNow();
  this->server.StopListening();
}

void Gateway::Begin(const http::ExchangePtr& exchange) {
  this->counters.Add(Counter::kRequests);
  // 1. What is asked for, of whom, and until when.
  std::optional<Call> read = this->Read(exchange);
  if (!read)
    return;
  const CallId id = ++this->last_call;
  read->id = id;
  auto owned = std::make_unique<Call>(std::move(*read));
  Call& call = *owned;
  this->calls.emplace(id, std::move(owned));
  exchange->OnAbandoned([this, id] { this->Abandon(id); });
  // 2. A request that must run at most once is claimed first; one that would
  //    be refused anyway costs the platform no write.
  if (!call.claim) {
    this->Dispatch(call);
    return;
  }
  const std::optional<dispatch::Refuse> refusal = this->dispatcher.WouldRefuse(
      {.service = call.service, .deadline = call.deadline},
      base::MonotonicNow());
  if (refusal) {
    this->ReplyProblem(call, ToProblem(*refusal));
    return;
  }
  this->tell_control(WantClaim{.call = id, .key = *call.claim});
}

std::optional<Gateway::Call> Gateway::Read(const http::ExchangePtr& exchange) {
  const http::Request& request = exchange->request();
  Call call;
  call.exchange = exchange;
  call.service = ServiceOf(request.path);
  const auto service = this->services.find(call.service);
  if (service == this->services.end()) {
    // The dispatcher refuses it; its answer is the same for every caller.
    call.deadline = base::MonotonicNow();
    return call;
  }
  std::int64_t timeout_ms = service->second.deadline_ms;
  if (const std::string* text =
          http::FindHeader(request.headers, kTimeoutHeader)) {
    const std::optional<std::int64_t> own = ParseTimeout(*text);
    if (!own) {
      this->ReplyProblem(
          call, {.status = 400,
                 .reason = "bad_timeout",
                 .detail = fmt::format("{} must be a whole number from 1 to {}",
                                       kTimeoutHeader, kMaxTimeoutMs)});
      return std::nullopt;
    }
    timeout_ms = *own;
  }
  call.deadline = base::MonotonicNow() + std::chrono::milliseconds(timeout_ms);
  if (!this->ReadRepeat(call, service->second))
    return std::nullopt;
  return call;
}

// May the request be sent a second time? If not, is there a key to know its
// repeats by? False: it was refused.
bool Gateway::ReadRepeat(Call& call, const table::ServiceRow& service) {
  const http::Request& request = call.exchange->request();
  call.repeatable =
      service.repeat == table::Repeat::kSafe || IsIdempotent(request.method);
  if (call.repeatable)
    return true;
  const std::string* key = http::FindHeader(request.headers, kIdempotencyKey);
  if (key && !key->empty() && key->size() <= kMaxIdempotencyKey) {
    call.claim = ClaimKey{.service = call.service,
                          .key = *key,
                          .fingerprint = FingerprintOf(request)};
    return true;
  }
  if (!key && service.repeat != table::Repeat::kKeyed)
    return true;
  this->ReplyProblem(
      call, {.status = 400,
             .reason = "idempotency_key",
             .detail = fmt::format("the service needs an {} of 1 to {} bytes",
                                   kIdempotencyKey, kMaxIdempotencyKey)});
  return false;
}

void Gateway::Dispatch(Call& call) {
  const CallId id = call.id;
  call.request = this->dispatcher.Arrive({.service = call.service,
                                          .deadline = call.deadline,
                                          .repeatable = call.repeatable},
                                         base::MonotonicNow(), this->actions);
  this->call_of.emplace(call.request, id);
  this->Perform();
}

void Gateway::Abandon(CallId id) {
  const auto found = this->calls.find(id);
  if (found == this->calls.end())
    return;
  const Call& call = *found->second;
  this->counters.Add(Counter::kCancelled);
  // Closing the connection tells the target that nobody waits any more.
  if (call.upstream != 0)
    this->client.Cancel(call.upstream);
  const bool never_sent = call.upstream == 0 && !call.claim_row.empty();
  if (never_sent)
    this->tell_control(ReleaseClaim{.claim_row = call.claim_row,
                                    .version = call.claim_version});
  if (call.request != 0) {
    this->dispatcher.Cancel(call.request, base::MonotonicNow(), this->actions);
    this->call_of.erase(call.request);
  }
  this->calls.erase(found);
  this->Perform();
}

void Gateway::Take(const ClaimDecided& message) {
  const auto found = this->calls.find(message.call);
  if (found != this->calls.end()) {
    std::visit(
        [&](const auto& answer) { this->Decide(*found->second, answer); },
        message.answer);
    return;
  }
  // The caller left meanwhile, and nothing was sent.
  if (const auto* granted = std::get_if<ClaimGranted>(&message.answer))
    this->tell_control(ReleaseClaim{.claim_row = granted->claim_row,
                                    .version = granted->version});
}

void Gateway::Decide(Call& call, const ClaimGranted& answer) {
  call.claim_row = answer.claim_row;
  call.claim_version = answer.version;
  this->Dispatch(call);
}

void Gateway::Decide(Call& call, const ClaimTaken& answer) {
  if (answer.fingerprint != call.claim->fingerprint) {
    this->ReplyProblem(call,
                       {.status = 422,
                        .reason = "idempotency_key_reused",
                        .detail = "the key was used for another request"});
    return;
  }
  if (answer.has_outcome) {
    this->counters.Add(Counter::kClaimReplays);
    this->Reply(call, answer.outcome);
    return;
  }
  this->ReplyProblem(
      call, {.status = 409,
             .reason = "already_sent",
             .detail = "a request with this key was sent; its outcome is not "
                       "known",
             .verdict = Verdict::kMayHaveRun,
             .retry_after = kPlatformRetryAfter});
}

void Gateway::Decide(Call& call, const ClaimUnavailable&) {
  this->ReplyProblem(call,
                     {.status = kUnavailable,
                      .reason = "platform_out",
                      .detail = "requests that must run at most once wait for "
                                "the platform's table",
                      .retry_after = kPlatformRetryAfter});
}

void Gateway::Perform() {
  // Acting may lead back here; the outer call works off everything.
  if (this->performing)
    return;
  this->performing = true;
  for (std::size_t i = 0; i < this->actions.size(); ++i) {
    const dispatch::Action action = this->actions[i];
    std::visit([this](const auto& typed) { this->Act(typed); }, action);
  }
  this->actions.clear();
  this->performing = false;
}

void Gateway::Act(const dispatch::SendTry& action) {
  Call& call = *this->calls.at(this->call_of.at(action.request));
  const http::Request& received = call.exchange->request();
  const CallId id = call.id;
  if (call.upstream != 0)
    this->counters.Add(Counter::kRetries);
  http::ClientRequest request;
  request.method = received.method;
  request.url = "http://" + this->dispatcher.TargetAt(action.target).address +
                received.path;
  request.headers = PassedOn(received.headers);
  request.body = received.body;
  request.timeout = action.timeout;
  request.fresh_connection = !call.repeatable;
  call.upstream = this->client.Send(std::move(request),
                                    [this, id](http::ClientResult result) {
                                      this->TakeResult(id, std::move(result));
                                    });
}

void Gateway::TakeResult(CallId id, http::ClientResult result) {
  Call& call = *this->calls.at(id);
  const TryOutcome outcome = Classify(result);
  if (outcome == TryOutcome::kRefused)
    this->counters.Add(Counter::kTargetRefusals);
  else if (outcome != TryOutcome::kAnswered)
    this->counters.Add(Counter::kTargetFailures);
  call.answer = std::move(result.response);
  this->dispatcher.Settle({.request = call.request, .outcome = outcome},
                          base::MonotonicNow(), this->actions);
  this->Perform();
}

void Gateway::Act(const dispatch::PassAnswer& action) {
  Call& call = *this->calls.at(this->call_of.at(action.request));
  this->counters.Add(Counter::kAnswered);
  call.answer.headers = PassedOn(call.answer.headers);
  if (!call.claim_row.empty())
    this->tell_control(KeepOutcome{.claim_row = call.claim_row,
                                   .version = call.claim_version,
                                   .fingerprint = call.claim->fingerprint,
                                   .answer = call.answer});
  this->Reply(call, std::move(call.answer));
}

void Gateway::Act(const dispatch::Refuse& action) {
  Call& call = *this->calls.at(this->call_of.at(action.request));
  if (!call.claim_row.empty() && action.verdict == Verdict::kNotRun)
    this->tell_control(ReleaseClaim{.claim_row = call.claim_row,
                                    .version = call.claim_version});
  this->ReplyProblem(call, ToProblem(action));
}

void Gateway::Act(const dispatch::ReportDrained& action) {
  this->tell_control(
      Drained{.ack = {.box = this->dispatcher.TargetAt(action.target).name,
                      .epoch = action.epoch}});
}

void Gateway::Act(const dispatch::ReportHealth& action) {
  using dispatch::HealthState;
  base::Event event = base::Event::kTargetRestored;
  if (action.health == HealthState::kEjected)
    event = base::Event::kTargetEjected;
  if (action.health == HealthState::kProbing)
    event = base::Event::kTargetProbed;
  base::Log(event, {{"target", this->dispatcher.TargetAt(action.target).name}});
}

void Gateway::Reply(Call& call, http::Response response) {
  // At a stop the caller is told to take its next request elsewhere.
  if (this->stopping)
    response.headers.push_back({.name = "Connection", .value = "close"});
  call.exchange->Reply(std::move(response));
  this->call_of.erase(call.request);
  this->calls.erase(call.id);
}

void Gateway::ReplyProblem(Call& call, const Problem& problem) {
  this->counters.Add(problem.verdict == Verdict::kNotRun
                         ? Counter::kRefusedNotRun
                         : Counter::kRefusedMayHaveRun);
  this->Reply(call, ToResponse(problem));
}

void Gateway::Tick() {
  if (this->stopping)
    this->StopIfIdle();
  const bool idle = this->dispatcher.open_requests() == 0;
  if (idle && ++this->idle_ticks < kIdleTicks)
    return;
  this->idle_ticks = 0;
  this->dispatcher.Tick(base::MonotonicNow(), this->actions);
  this->Perform();
}

// Leaves once no answer is owed, and none was for a moment: a connection kept
// open may have brought one more request just before it was told to close.
void Gateway::StopIfIdle() {
  const base::Micros now = base::MonotonicNow();
  if (this->server.open_exchanges() > 0)
    this->idle_since = now;
  const bool idle = now - this->idle_since > kStopIdle;
  if (!idle && now < this->stop_at)
    return;
  this->tell_control(TrafficStopped{});
  this->loop.Stop();
}

}  // namespace quartzhoist::daemon
