#include "entry/earlier_owner.h"

#include <charconv>
#include <chrono>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "base/clock.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

// A daemon that is not cut off answers within some ms.
constexpr base::Micros kAnswerTimeout = milliseconds(450);
constexpr base::Micros kRetryInterval = milliseconds(500);
constexpr int kOk = 200;

// The decimal value of `name=`; empty if it is missing or malformed.
template <typename Number>
std::optional<Number> ValueOf(std::string_view query, std::string_view name) {
  const std::size_t at = query.find(fmt::format("{}=", name));
  if (at == std::string_view::npos)
    return std::nullopt;
  const std::string_view text = query.substr(at + name.size() + 1);
  Number value{};
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return value;
}

}  // namespace

std::string FormatOwnerQuestion(const OwnerQuestion& question) {
  return fmt::format("{}?shard={}&epoch={}", kOwnerPath, question.shard,
                     question.epoch);
}

std::optional<OwnerQuestion> ParseOwnerQuestion(std::string_view target) {
  if (!target.starts_with(kOwnerPath))
    return std::nullopt;
  const auto shard = ValueOf<int>(target, "shard");
  const auto epoch = ValueOf<std::uint64_t>(target, "epoch");
  if (!shard || !epoch)
    return std::nullopt;
  return OwnerQuestion{.shard = *shard, .epoch = *epoch};
}

std::string FormatOwnerAnswer(bool is_owner) {
  return Json{{"owner", is_owner}}.dump();
}

// A connection that is refused proves nothing: the box may be cut off by
// something that rejects connections in its place.
bool SaysNotOwner(const http::ClientResult& result) {
  if (result.verdict != base::Verdict::kRan || result.response.status != kOk)
    return false;
  const Json answer = Json::parse(result.response.body, nullptr, false);
  return answer.is_object() && answer.contains("owner") &&
         answer["owner"] == false;
}

EarlierOwner::EarlierOwner(base::Loop& loop,
                           http::Client& client,
                           std::string address,
                           const OwnerQuestion& question,
                           base::Micros give_up_at,
                           std::function<void()> on_ended)
    : client(client),
      address(std::move(address)),
      question(question),
      give_up_at(give_up_at),
      on_ended(std::move(on_ended)),
      retry_timer(loop, [this] { this->Ask(); }),
      alive(std::make_shared<bool>(true)) {
  this->Ask();
}

EarlierOwner::~EarlierOwner() {
  *this->alive = false;
}

void EarlierOwner::Ask() {
  if (base::MonotonicNow() >= this->give_up_at)
    return;
  http::ClientRequest request;
  request.url = fmt::format("http://{}{}", this->address,
                            FormatOwnerQuestion(this->question));
  request.timeout = kAnswerTimeout;
  request.fresh_connection = true;
  this->client.Send(std::move(request), [this, alive = this->alive](
                                            const http::ClientResult& result) {
    if (*alive)
      this->OnResult(result);
  });
}

// The process may be started again, or lose the shard, at any time.
void EarlierOwner::OnResult(const http::ClientResult& result) {
  if (SaysNotOwner(result))
    this->on_ended();
  else
    this->retry_timer.StartOnce(kRetryInterval);
}

}  // namespace quartzhoist::entry
