// The platform's stand-in: table service, box list, and the faults that the
// real one has. Driven over HTTP; tests also use it in their own process.

#ifndef TESTING_PLATFORM_STANDIN_H_
#define TESTING_PLATFORM_STANDIN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/loop.h"
#include "http/server.h"
#include "testing/memory_table.h"

namespace quartzhoist::testing {

// What goes wrong, until changed.
struct Faults {
  bool down = false;            // every call is answered 503, nothing is done
  bool silent = false;          // calls are not answered at all, nothing done
  int lose_commit_replies = 0;  // so many commits take effect, unanswered
  int delay_ms = 0;             // before every answer
};

class PlatformStandin {
 public:
  struct Options {
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;
    // How long the platform takes to ready an empty box.
    base::Micros ready_after = std::chrono::seconds(1);
  };

  PlatformStandin(base::Loop& loop, const Options& options);

  std::uint16_t port() const { return this->server.port(); }
  MemoryTable& table() { return this->rows; }
  Faults& faults() { return this->current_faults; }
  // Lists a box, or changes what the list says of it.
  void List(platform::ListedBox box);

 private:
  void Handle(const http::ExchangePtr& exchange);
  http::Response Answer(const http::Request& request);
  http::Response CommitAll(const std::string& body);
  http::Response Boxes(std::uint64_t after) const;
  http::Response SetFaults(const std::string& body);
  http::Response SetBox(const std::string& body);
  void ReplyLater(const http::ExchangePtr& exchange, http::Response response);
  void ReadyBoxes();
  double Now() const;

  struct Listed {
    platform::ListedBox box;
    std::uint64_t version = 0;
  };
  struct Delayed {
    base::Micros due{};
    http::ExchangePtr exchange;
    http::Response response;
  };

  base::Micros ready_after;
  base::Micros started = base::MonotonicNow();
  MemoryTable rows;
  Faults current_faults;
  std::map<std::string, Listed> listed;
  std::uint64_t list_version = 0;
  std::map<std::string, base::Micros> away_since;
  std::vector<Delayed> delayed;
  std::vector<http::ExchangePtr> unanswered;
  http::Server server;
  base::Timer tick;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_PLATFORM_STANDIN_H_
