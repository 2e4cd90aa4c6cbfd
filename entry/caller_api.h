// The callers' HTTP interface: submits, queries, cancels and counts jobs. Holds
// no job state of its own, so that any daemon can answer from the store.

#ifndef ENTRY_CALLER_API_H_
#define ENTRY_CALLER_API_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "entry/admission.h"
#include "entry/call_limit.h"
#include "entry/job_access.h"
#include "entry/start_hold.h"
#include "entry/tables.h"
#include "http/server.h"
#include "jobs/queue.h"
#include "platform/store.h"

namespace quartzhoist::entry {

class CallerApi {
 public:
  // `on_config_row` receives the operators' configuration row when it was read
  // from the store because the local copy was stale; it calls SetConfig if the
  // row is newer.
  CallerApi(base::Loop& loop,
            platform::Store& store,
            base::Counters& counters,
            std::function<void(const platform::Row& row)> on_config_row);

  void SetConfig(const jobs::Config& config);
  // Calls `on_chosen` with the number of a shard, now or later.
  using ChooseShard =
      std::function<void(const jobs::Queue&,
                         const jobs::JobSpec&,
                         const std::string& organisation,
                         std::function<void(int shard)> on_chosen)>;
  // The number of shards and the function that assigns a job to one of them.
  // Until this is called, requests are held briefly and then refused.
  void SetShards(int count, ChooseShard choose);
  struct LoadSource {
    // Reads the shard's load unless it is recent, and calls `on_read` then or
    // after a time limit.
    std::function<void(int shard, std::function<void()> on_read)> refresh;
    std::function<ShardLoad(int shard)> load_of;
  };
  // Rejects jobs that cannot be done in time by these loads. Until this is
  // called no job is rejected for its expected wait.
  void SetAdmission(LoadSource loads, std::uint64_t seed);
  // The store answered at `answered` that the configuration was the newest when
  // it was asked at `asked`.
  void OnConfigConfirmed(base::Micros asked, base::Micros answered);
  // Makes all further responses close their connections.
  void BeginShutdown();
  void Handle(const http::ExchangePtr& exchange);
  // The response to a request that there is no room for.
  http::Response RefuseForRoom(const http::Request& request);
  // Answers all pending submissions: 503 if the job was certainly not written,
  // 504 if it may have been or may still be. Takes no requests afterwards.
  void Shutdown();

 private:
  // Source that confirmed the configuration under which a request is served.
  enum class ConfigSource { kFeed, kStoreRead };

  // A request about a job, by the organisation of its access key.
  struct JobRequest {
    http::ExchangePtr exchange;
    std::string job;
    std::string organisation;  // empty without a key
    ConfigSource config_source = ConfigSource::kFeed;
  };
  // A job whose write is pending.
  struct Submission {
    http::ExchangePtr exchange;
    std::string job;
    JobOrigin origin;
    ConfigSource config_source = ConfigSource::kFeed;
    std::string row;
    Shard shard;
    base::Micros arrived{};
    base::Micros deadline{};
    bool may_be_written = false;  // by an earlier attempt
    bool write_alone = false;     // the batch that contained it was refused
    // Set if it may be rejected for its expected wait.
    std::optional<AdmissionRequest> admission;
  };
  struct Cancellation {
    http::ExchangePtr exchange;
    std::string job;
    Shard shard;
    int tries_left = 0;
    bool may_be_written = false;  // by an earlier attempt
  };
  // A cancellation of a job that is not stored.
  struct UnknownCancellation {
    JobRequest request;
    int tries_left = 0;
    bool may_be_written = false;  // by an earlier attempt
  };
  // A submission that is to be rejected unless its job is stored already.
  struct PendingRejection {
    Rejection rejection;
    base::Micros expiry{};  // when it is admitted without an answer
  };
  // The submissions whose rows lie in one part of the store.
  struct PartQueue {
    std::deque<Submission> waiting;   // for the next write
    std::deque<Submission> to_retry;  // outcome unknown; until the retry timer
    // The batch that is being written; null if there is none.
    std::shared_ptr<std::vector<Submission>> in_flight;
  };

  // Initial delay before a write of unknown outcome is retried; it doubles with
  // each consecutive unknown outcome.
  static constexpr base::Micros kWriteRetryDelay{60'000};

  bool CanServe() const { return this->config && this->shards > 0; }
  void Serve(const http::ExchangePtr& exchange);
  void ScheduleHeld();
  void AnswerHeld();
  void Dispatch(const http::ExchangePtr& exchange, ConfigSource source);
  void ReadConfig(const http::ExchangePtr& exchange);
  void SendConfigRead(std::optional<base::Micros> timeout);
  void OnConfigRead(const std::optional<platform::ReadResult>& result,
                    base::Micros sent_at);
  // `confirmed`: since when the feed confirms the configuration.
  bool MayConfigBeOutdated(ConfigSource source, base::Micros confirmed) const;
  void Submit(const JobRequest& job_request, const jobs::Queue& queue);
  void Assign(std::uint64_t choice, int shard);
  void Admit(std::uint64_t choice);
  bool IsPendingWrite(const std::string& job) const;
  bool MayBeWritten(const std::string& job);
  bool MayClaimNotRun(const http::Request& request);
  void ReadBeforeRejection(std::uint64_t choice, const Rejection& rejection);
  void OnReadBeforeRejection(std::uint64_t choice,
                             const std::optional<platform::ReadResult>& result);
  void AdmitOverdue();
  void Enqueue(std::uint64_t choice);
  void WritePart(const std::string& part);
  static platform::RowKey CancelledRowOf(const Submission& submission);
  void OnWriteResult(const std::string& part,
                     std::vector<Submission> batch,
                     const platform::WriteResult& result);
  void AnswerStoredJob(const Submission& submission,
                       const platform::Row& stored);
  void AnswerAccepted(const Submission& submission, bool again);
  void ScheduleRetry(const std::string& part, Submission submission);
  void RetryWrites();
  void ReadProgress(const http::ExchangePtr& exchange,
                    const std::string& job,
                    std::function<void(const ProgressRecord& stored)> on_found,
                    std::function<void()> on_absent);
  void RefuseUnknownJob(const http::ExchangePtr& exchange,
                        const std::string& job);
  void CheckAccess(const JobRequest& request,
                   const JobOrigin& origin,
                   int shard,
                   std::function<void(JobAccess)> on_decided);
  void IfAllowed(const JobRequest& request,
                 const JobOrigin& origin,
                 int shard,
                 std::function<void()> on_allowed);
  void AnswerState(const JobRequest& request);
  void Cancel(const JobRequest& request);
  void Cancel(const JobRequest& request, int tries_left);
  void WriteCancel(const Cancellation& cancel);
  void CancelUnknownJob(const UnknownCancellation& cancel);
  void WriteCancelledId(const UnknownCancellation& cancel,
                        const std::vector<platform::Row>& listed);
  void OnCancelledIdWritten(UnknownCancellation cancel,
                            const platform::WriteResult& result);
  void AnswerCount(const http::ExchangePtr& exchange, const std::string& queue);
  std::chrono::seconds RetryAfterOutage();
  http::Response Finished(http::Response response) const;
  void Reply(const http::ExchangePtr& exchange, http::Response response) const;
  // The response, counted and logged.
  http::Response Refusal(const http::Request& request,
                         int status,
                         std::string_view job,
                         std::string_view reason,
                         std::chrono::seconds retry_after);
  void Refuse(const http::ExchangePtr& exchange,
              int status,
              std::string_view job,
              std::string_view reason,
              std::chrono::seconds retry_after = std::chrono::seconds(1));

  platform::Store& store;
  base::Counters& counters;
  std::function<void(const platform::Row& row)> on_config_row;
  std::optional<jobs::Config> config;
  int shards = 0;  // 0: not known
  ChooseShard choose_shard;
  base::Micros config_confirmed{};  // when the store last answered so
  base::Micros config_asked{};      // when it was asked for that answer
  // Requests waiting for a read of the configuration.
  std::vector<http::ExchangePtr> awaiting_config;
  StartHold<http::ExchangePtr> held_at_start;
  base::Timer hold_timer;
  // For the answers while the store is away.
  std::mt19937_64 random;
  // Absent until SetAdmission().
  std::optional<Admission> admission;
  LoadSource loads;
  CallLimit reads_before_rejection;
  // By the number of the choice.
  std::map<std::uint64_t, PendingRejection> pending_rejections;
  UnknownOutcomes unknown_outcomes;
  // Submissions whose shard is being chosen or whose admission is being
  // decided, by the number of the choice.
  std::map<std::uint64_t, Submission> unassigned;
  std::uint64_t last_choice = 0;
  std::map<std::string, PartQueue> parts;
  base::Micros write_retry_delay = kWriteRetryDelay;
  base::Timer retry_timer;
  base::Timer rejection_timer;
  bool stopping = false;
  bool is_shut_down = false;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_CALLER_API_H_
