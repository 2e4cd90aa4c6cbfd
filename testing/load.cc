#include "testing/load.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::testing {

namespace {

using base::Verdict;

// A caller whose entry box is lost asks the others before it gives up.
constexpr int kTriesAnAddress = 2;
constexpr base::Micros kPace = std::chrono::milliseconds(1);
constexpr int kOk = 200;

}  // namespace

std::uint32_t LoadResult::Percentile(double p) const {
  if (this->latencies_us.empty())
    return 0;
  const auto last = static_cast<double>(this->latencies_us.size() - 1);
  return this->latencies_us[static_cast<std::size_t>(p * last)];
}

Load::Load(base::Loop& loop, LoadOptions chosen)
    : options(std::move(chosen)),
      pace(loop, [this] { this->Fill(); }),
      client(loop) {}

void Load::Start(std::function<void()> on_done) {
  this->done = std::move(on_done);
  this->started = base::MonotonicNow();
  this->pace.StartEvery(kPace);
  this->Fill();
}

bool Load::MayBegin() const {
  const base::Micros elapsed = base::MonotonicNow() - this->started;
  if (this->finishing ||
      this->open >= static_cast<std::size_t>(this->options.in_flight))
    return false;
  if (this->options.requests > 0 ? this->begun >= this->options.requests
                                 : elapsed >= this->options.duration)
    return false;
  return this->options.rate <= 0 ||
         static_cast<double>(this->begun) <
             this->options.rate * base::Seconds(elapsed);
}

void Load::Fill() {
  while (this->MayBegin()) {
    ++this->begun;
    ++this->open;
    this->Send(
        {.id = fmt::format("{}-{}", this->options.id_prefix, this->begun),
         .began = base::MonotonicNow()});
  }
  this->End();
}

void Load::End() {
  const bool over =
      this->finishing ||
      (this->options.requests > 0
           ? this->begun >= this->options.requests
           : base::MonotonicNow() - this->started >= this->options.duration);
  if (!over || this->open > 0 || !this->done)
    return;
  this->pace.Stop();
  this->counts.seconds = base::Seconds(base::MonotonicNow() - this->started);
  std::sort(this->counts.latencies_us.begin(), this->counts.latencies_us.end());
  std::exchange(this->done, nullptr)();
}

void Load::Send(Request request) {
  ++request.tries;
  http::ClientRequest message;
  message.method = this->options.method;
  message.url = "http://" + this->options.addresses[this->next_address] +
                this->options.path;
  this->next_address =
      (this->next_address + 1) % this->options.addresses.size();
  message.headers.push_back({.name = "X-Request-Id", .value = request.id});
  if (this->options.keyed)
    message.headers.push_back({.name = "Idempotency-Key", .value = request.id});
  message.body.assign(this->options.body_bytes, 'x');
  message.timeout = this->options.timeout;
  this->client.Send(std::move(message), [this, request = std::move(request)](
                                            const http::ClientResult& result) {
    this->Take(request, result);
  });
}

void Load::Take(Request request, const http::ClientResult& result) {
  const int most_tries =
      kTriesAnAddress * static_cast<int>(this->options.addresses.size());
  const bool repeatable = this->options.keyed || this->options.method == "GET";
  if (result.verdict != Verdict::kRan && request.tries < most_tries &&
      (repeatable || result.verdict == Verdict::kNotRun)) {
    ++this->counts.repeated;
    this->Send(std::move(request));
    return;
  }
  --this->open;
  this->Count(request, result);
  this->Fill();
}

void Load::Count(const Request& request, const http::ClientResult& result) {
  if (result.verdict != Verdict::kRan) {
    ++this->counts.cut_off;
    return;
  }
  const http::Response& response = result.response;
  if (response.status == kOk) {
    const std::string* id = http::FindHeader(response.headers, "X-Request-Id");
    if (!id || *id != request.id) {
      ++this->counts.foreign;
      return;
    }
    ++this->counts.answered;
    this->counts.answered_ids.push_back(request.id);
    const base::Micros took = base::MonotonicNow() - request.began;
    this->counts.latencies_us.push_back(
        static_cast<std::uint32_t>(took.count()));
    return;
  }
  const nlohmann::json problem =
      nlohmann::json::parse(response.body, nullptr, false);
  const std::string verdict =
      problem.is_object() ? problem.value("verdict", "") : "";
  if (verdict == base::Name(Verdict::kNotRun))
    ++this->counts.refused_not_run;
  else if (verdict == base::Name(Verdict::kMayHaveRun))
    ++this->counts.refused_may_have_run;
  else
    ++this->counts.refused_other;
}

}  // namespace quartzhoist::testing
