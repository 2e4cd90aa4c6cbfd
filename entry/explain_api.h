// Answers explain requests at the metrics address: from the scheduler of the
// job's shard if this daemon owns it, else from the store's rows.

#ifndef ENTRY_EXPLAIN_API_H_
#define ENTRY_EXPLAIN_API_H_

#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.h"
#include "entry/call_limit.h"
#include "entry/explain.h"
#include "entry/job_access.h"
#include "http/server.h"
#include "jobs/queue.h"
#include "platform/store.h"

namespace quartzhoist::entry {

class ExplainApi {
 public:
  static constexpr std::string_view kPathPrefix = "/explain/";

  struct Sources {
    // Null until a configuration has been read.
    std::function<const jobs::Config*()> config;
    std::function<int()> shards;  // 0 until their number is known
    // The job, if this daemon owns its shard.
    std::function<std::optional<OwnedJob>(const std::string& job)> owned;
  };

  ExplainApi(platform::Store& store, Sources sources);

  // `exchange` is a request for a path that begins with kPathPrefix.
  void Handle(const http::ExchangePtr& exchange);

 private:
  // A request, and what has been read for it.
  struct Request {
    http::ExchangePtr exchange;
    std::string organisation;  // of the access key; empty without a key
    base::Micros asked{};
    StoredJob stored;
    JobOrigin origin;
  };

  void ReadProgress(Request request);
  void ReadOrigin(Request request);
  void ReadOwner(Request request);
  void Answer(Request request);

  platform::Store& store;
  Sources sources;
  CallLimit limit{kMaxExplanationsPerSecond};
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_EXPLAIN_API_H_
