// Callers' interface: jobs are handed in, asked for, cancelled and counted.
// Any daemon answers from the store; nothing is kept here.

#ifndef ENTRY_CALLER_API_H_
#define ENTRY_CALLER_API_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "entry/tables.h"
#include "http/server.h"
#include "jobs/queue.h"
#include "platform/store.h"

namespace quartzhoist::entry {

class CallerApi {
 public:
  // `on_config_row` takes the operators' configuration as the store has it,
  // read when this daemon's view of it was too old to go by; it calls SetConfig
  // if that is newer.
  CallerApi(base::Loop& loop,
            platform::Store& store,
            base::Counters& counters,
            std::function<void(const platform::Row& row)> on_config_row);

  void SetConfig(const jobs::Config& config);
  // In how many shards the fleet is scheduled, and which of them takes a job;
  // until then nothing is taken.
  using ChooseShard = std::function<
      int(const jobs::Config&, const jobs::Queue&, const jobs::JobSpec&)>;
  void SetShards(int count, ChooseShard choose);
  // The store has said that the configuration is the newest as of `seen`.
  void ConfigSeen(base::Micros seen);
  // From now on answers end their connections: the process is to stop.
  void Stop();
  void Handle(const http::ExchangePtr& exchange);
  // The process ends now: whoever still waits for a job to be taken is told
  // whether that may yet happen.
  void End();

 private:
  // A job that waits to be written.
  struct Submission {
    http::ExchangePtr exchange;
    std::string job;
    std::string row;
    Shard shard;
    base::Micros arrived{};
    base::Micros deadline{};
    bool uncertain = false;  // an earlier try may have been written
    bool alone = false;      // the write that it shared was refused
  };
  struct Cancellation {
    http::ExchangePtr exchange;
    std::string job;
    Shard shard;
    int tries = 0;           // that are left
    bool uncertain = false;  // an earlier try may have been written
  };
  struct PartQueue {
    std::deque<Submission> waiting;
    std::deque<Submission> again;  // whose fate is open, until the next try
    std::shared_ptr<std::vector<Submission>> sent;  // whose write is on its way
  };

  enum class ConfigView { kFollowed, kAsked };

  // A write whose fate is open is tried again after this, doubled with each
  // failure in a row.
  static constexpr base::Micros kWriteAgain{60'000};

  void Dispatch(const http::ExchangePtr& exchange, ConfigView view);
  void AskForConfig(const http::ExchangePtr& exchange);
  void TakeConfigRow(const std::optional<platform::ReadResult>& result,
                     base::Micros asked);
  void Submit(const http::ExchangePtr& exchange,
              const jobs::Queue& queue,
              const std::string& organisation,
              const std::string& job);
  void WritePart(const std::string& part);
  void TakeWritten(const std::string& part,
                   std::vector<Submission> batch,
                   const platform::WriteResult& result);
  void Again(const std::string& part, Submission submission);
  void WriteAgain();
  void ReadProgress(const http::ExchangePtr& exchange,
                    const std::string& job,
                    std::function<void(const ProgressRecord& kept)> found);
  void AnswerState(const http::ExchangePtr& exchange, const std::string& job);
  void Cancel(const http::ExchangePtr& exchange, const std::string& job);
  void WriteCancel(const Cancellation& cancel);
  void AnswerCount(const http::ExchangePtr& exchange, const std::string& queue);
  void Reply(const http::ExchangePtr& exchange, http::Response response) const;
  void Refuse(const http::ExchangePtr& exchange,
              int status,
              std::string_view job,
              std::string_view reason) const;

  platform::Store& store;
  base::Counters& counters;
  std::function<void(const platform::Row& row)> on_config_row;
  std::optional<jobs::Config> config;
  int shards = 0;  // 0: not known yet
  ChooseShard choose_shard;
  base::Micros config_seen{};
  // Requests that wait for the store's configuration.
  std::vector<http::ExchangePtr> asking;
  std::map<std::string, PartQueue> parts;
  base::Micros write_again = kWriteAgain;  // until the next try
  base::Timer retry;
  bool stopping = false;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_CALLER_API_H_
