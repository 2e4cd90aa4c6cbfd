// Callers in a loop: a number of requests at once, through one or several
// entry boxes, and what became of them.

#ifndef TESTING_LOAD_H_
#define TESTING_LOAD_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/loop.h"
#include "http/client.h"

namespace quartzhoist::testing {

struct LoadOptions {
  std::vector<std::string> addresses;  // of the entry boxes, used in turn
  std::string path = "/";
  std::string method = "GET";
  std::string id_prefix = "r";  // of the requests' ids
  bool keyed = false;           // send the id as Idempotency-Key
  std::size_t body_bytes = 0;
  int in_flight = 1;
  std::uint64_t requests = 0;  // 0: as many as fit the time
  base::Micros duration = std::chrono::seconds(5);
  double rate = 0;  // requests a second; 0: as fast as answered
  base::Micros timeout = std::chrono::seconds(10);
};

struct LoadResult {
  std::uint64_t answered = 0;
  std::uint64_t refused_not_run = 0;
  std::uint64_t refused_may_have_run = 0;
  std::uint64_t refused_other = 0;  // a refusal that does not say
  std::uint64_t repeated = 0;       // sent again after an entry box was lost
  std::uint64_t cut_off = 0;        // no whole answer from any entry box
  std::uint64_t foreign = 0;        // another request's answer
  double seconds = 0;
  std::vector<std::uint32_t> latencies_us;  // of those answered, sorted
  std::vector<std::string> answered_ids;

  // The latency that the share `p` of the answered stayed under; 0 if none.
  std::uint32_t Percentile(double p) const;
};

class Load {
 public:
  Load(base::Loop& loop, LoadOptions options);

  // Starts; `done` is called when every request has ended.
  void Start(std::function<void()> done);
  // Begins no more requests.
  void Finish() { this->finishing = true; }

  const LoadResult& result() const { return this->counts; }
  std::size_t in_flight() const { return this->open; }

 private:
  struct Request {
    std::string id;
    base::Micros began{};
    int tries = 0;
  };

  void Fill();
  bool MayBegin() const;
  void Send(Request request);
  void Take(Request request, const http::ClientResult& result);
  void Count(const Request& request, const http::ClientResult& result);
  void End();

  LoadOptions options;
  LoadResult counts;
  std::function<void()> done;
  std::uint64_t begun = 0;
  std::size_t open = 0;
  std::size_t next_address = 0;
  base::Micros started{};
  bool finishing = false;
  base::Timer pace;
  http::Client client;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_LOAD_H_
