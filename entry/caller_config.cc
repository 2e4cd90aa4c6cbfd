// The configuration under which callers are served: how old it may be, and its
// reads from the store.

#include <algorithm>
#include <chrono>
#include <optional>
#include <utility>
#include <vector>

#include "entry/caller_api.h"
#include "entry/caller_status.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// A queue or access key is rejected as unknown, and another organisation's job
// withheld, only under a configuration that was confirmed this recently;
// otherwise the store is read first, which takes a few ms. Limits the reads
// under a flood of such requests to four a second.
constexpr base::Micros kMaxConfigAge = milliseconds(250);
// A read of the configuration without an answer is made once more after this,
// so that one that was lost at the end of an outage does not hold up requests
// for the time limit of reads. A slow store (80 times 4 ms) stays below it.
constexpr base::Micros kFirstConfigReadTimeout = milliseconds(450);
// The HTTP library ends a call in whole milliseconds of its own clock.
constexpr base::Micros kTimeoutPrecision = milliseconds(5);

}  // namespace

void CallerApi::OnConfigConfirmed(base::Micros asked, base::Micros answered) {
  this->config_asked = std::max(this->config_asked, asked);
  this->config_confirmed = std::max(this->config_confirmed, answered);
}

// Requests that arrive while a read is in flight share its result.
void CallerApi::ReadConfig(const http::ExchangePtr& exchange) {
  this->awaiting_config.push_back(exchange);
  if (this->awaiting_config.size() == 1)
    this->SendConfigRead(kFirstConfigReadTimeout);
}

void CallerApi::SendConfigRead(std::optional<base::Micros> timeout) {
  const platform::ReadQuery query{
      .table = std::string(platform::kOperatorTable),
      .part = "",
      .from = std::string(platform::kConfigKey),
      .to = {},
      .limit = 1,
      .fresh_connection = true,
      .timeout = timeout};
  const base::Micros sent_at = base::MonotonicNow();
  this->store.Read(
      query, [this, sent_at,
              timeout](const std::optional<platform::ReadResult>& result) {
        const base::Micros took = base::MonotonicNow() - sent_at;
        const bool is_lost =
            !result && timeout && took >= *timeout - kTimeoutPrecision;
        if (is_lost && !this->store.SeemsAway())
          this->SendConfigRead(std::nullopt);
        else
          this->OnConfigRead(result, sent_at);
      });
}

void CallerApi::OnConfigRead(const std::optional<platform::ReadResult>& result,
                             base::Micros sent_at) {
  const bool row_found = result && !result->rows.empty() &&
                         result->rows.front().at.key == platform::kConfigKey;
  if (row_found)
    this->on_config_row(result->rows.front());
  if (result)
    this->OnConfigConfirmed(sent_at, sent_at);
  for (const http::ExchangePtr& exchange :
       std::exchange(this->awaiting_config, {})) {
    if (result)
      this->Dispatch(exchange, ConfigSource::kStoreRead);
    else
      this->Refuse(exchange, kServiceUnavailable, "",
                   "it is not known which configuration is in force");
  }
}

bool CallerApi::MayConfigBeOutdated(ConfigSource source,
                                    base::Micros confirmed) const {
  return source == ConfigSource::kFeed &&
         base::MonotonicNow() - confirmed > kMaxConfigAge;
}

}  // namespace quartzhoist::entry
