// The platform's metadata store as its pages describe it, in memory: rows under
// versions, conditional writes, reads in pages, feeds. It can be told to
// refuse, to lose answers, to stay silent, and to forget its history.

#ifndef TESTING_STORE_STANDIN_H_
#define TESTING_STORE_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/loop.h"
#include "http/server.h"
#include "platform/store.h"

namespace quartzhoist::testing {

class StoreStandin {
 public:
  // Treatment of all further calls.
  enum class Mood {
    kWell,
    kBusy,          // 503: nothing is done
    kLosesAnswers,  // writes are done, their connection is cut
    kSilent,        // no answer, nothing is done
    kCuts,          // the connection is cut, nothing is done
    kTooMany,       // 429: nothing is done
    kLate,          // no answer, writes are done 1 to 6 s later
  };

  explicit StoreStandin(base::Loop& loop, std::uint16_t port = 0);

  // Sets its capabilities; initially the fewest that a deployment may have.
  void SetAbilities(const platform::Deployment& abilities) {
    this->can = abilities;
  }

  std::string address() const;
  // A further address with a mood of its own, for callers that can be turned
  // away while the others are served.
  std::string AddEndpoint(const std::string& name);
  bool HasEndpoint(const std::string& name) const {
    return this->endpoints.contains(name);
  }
  std::string AddressOf(const std::string& name) const;
  // Takes precedence over the mood of the store unless it is kWell.
  void SetMoodOf(const std::string& name, Mood mood);
  // Cuts the connections of the endpoint's calls in service, whose writes are
  // carried out.
  void CutCallsOf(const std::string& name);
  void SetMood(Mood mood) { this->mood = mood; }
  // All further calls are carried out, and answered, after this delay.
  void SetDelay(base::Micros span) { this->delay = span; }
  // Treatment of the next writes, one each, before the mood applies again.
  void SetNextWrites(std::deque<Mood> moods) {
    this->next_writes = std::move(moods);
  }
  void SetNextReads(std::deque<Mood> moods) {
    this->next_reads = std::move(moods);
  }
  // The store's clock is ahead of this process's by this time.
  void SetClockAhead(base::Micros span) { this->clock_ahead = span; }
  // Feeds from before now answer that history is lost.
  void ForgetHistory();
  // Rows of a page at most.
  void SetPage(std::size_t rows) { this->page = rows; }

  // As an operator or a worker would write.
  void Put(const platform::RowKey& at, const std::string& value);
  void Remove(const platform::RowKey& at);
  // Empty if there is none.
  std::string Value(const platform::RowKey& at) const;
  std::vector<platform::Row> Table(const std::string& table) const;
  // Calls of writes, whatever came of them.
  int writes() const { return this->write_count; }
  // Calls of reads that were answered.
  int reads() const { return this->read_count; }
  // Rows in the answers to reads and feeds.
  int rows_sent() const { return this->sent_rows; }

 private:
  struct Stored {
    std::string value;
    std::uint64_t version = 0;
  };
  struct Change {
    std::uint64_t version = 0;
    platform::RowKey at;
    bool removed = false;
    std::string value;
  };
  struct Endpoint {
    Mood mood = Mood::kWell;
    std::unique_ptr<http::Server> server;
  };
  struct Call {
    http::ExchangePtr exchange;
    const Endpoint* endpoint = nullptr;  // null: the store's own address
    // A copy: an exchange that was given up drops its own.
    std::string body;
  };
  struct Waiting {
    http::ExchangePtr exchange;
    std::string table;
    std::uint64_t from = 0;
    base::Micros until{};
    const Endpoint* endpoint = nullptr;
  };

  void Handle(Call call);
  void HandleNow(const Call& call);
  Mood MoodOf(const Call& call);
  void Write(const http::ExchangePtr& exchange,
             const std::string& content,
             Mood now);
  std::int64_t NowMillis() const;
  void Read(const http::ExchangePtr& exchange);
  void Feed(const Call& call);
  bool AnswerFeed(const Waiting& waiting, bool over);
  void HandleDelayed();
  void AnswerWaiting();
  nlohmann::json RowJson(const platform::RowKey& at) const;
  // Why it can never take the write; empty: it can.
  std::string WhyRefused(const nlohmann::json& write) const;

  base::Loop& loop;
  Mood mood = Mood::kWell;
  base::Micros delay{};
  base::Micros clock_ahead{};
  std::multimap<base::Micros, Call> delayed;  // by the time they are due
  std::multimap<base::Micros, Call> late;     // the same, of writes
  std::map<std::string, Endpoint> endpoints;
  std::deque<Mood> next_writes;
  std::deque<Mood> next_reads;
  platform::Deployment can;
  std::map<platform::RowKey, Stored> rows;
  std::deque<Change> history;
  std::vector<Waiting> waiting;
  std::vector<http::ExchangePtr> unanswered;
  std::uint64_t version = 0;
  std::uint64_t forgotten = 0;  // history up to here is gone
  std::size_t page = 500;
  int write_count = 0;
  int read_count = 0;
  int sent_rows = 0;
  base::Timer timer;
  http::Server server;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_STORE_STANDIN_H_
