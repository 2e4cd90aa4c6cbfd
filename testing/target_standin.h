// A worker's stand-in: takes as many requests at once as it has slots, refuses
// the rest as not run, and counts what it ran.

#ifndef TESTING_TARGET_STANDIN_H_
#define TESTING_TARGET_STANDIN_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "base/loop.h"
#include "http/server.h"

namespace quartzhoist::testing {

class TargetStandin {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    int slots = 8;
    base::Micros work{};    // that one request takes
    bool fail_all = false;  // answers 500 at once
    bool cut_all = false;   // runs, then ends the connection unanswered
  };

  TargetStandin(base::Loop& loop, const Options& options);

  std::uint16_t port() const { return this->server.port(); }
  Options& options() { return this->chosen; }
  // How often each request ran, by its X-Request-Id.
  const std::map<std::string, int>& runs() const { return this->run_counts; }
  int refused() const { return this->refusals; }
  int most_at_once() const { return this->peak; }
  int abandoned() const { return this->hang_ups; }

 private:
  struct Job {
    base::Micros due{};
    http::ExchangePtr exchange;
  };

  void Handle(const http::ExchangePtr& exchange);
  void Start(const http::ExchangePtr& exchange);
  void Finish(const Job& job);
  http::Response Report() const;
  void Arm();

  Options chosen;
  std::map<std::string, int> run_counts;
  std::deque<Job> jobs;  // in order of their end
  int refusals = 0;
  int peak = 0;
  int hang_ups = 0;
  base::Timer timer;
  http::Server server;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_TARGET_STANDIN_H_
