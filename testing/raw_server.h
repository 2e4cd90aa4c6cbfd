// A TCP server that answers what a test tells it to, byte by byte, and counts
// the requests that reached it: for answers that no proper server gives.

#ifndef TESTING_RAW_SERVER_H_
#define TESTING_RAW_SERVER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "base/loop.h"

namespace quartzhoist::testing {

class RawServer {
 public:
  // Given the number of the request (from 1), the bytes to answer with; the
  // connection is closed after them if `close` is set.
  struct Answer {
    std::string bytes;
    bool close = false;
  };

  RawServer(base::Loop& loop, std::function<Answer(int)> answer);
  ~RawServer();
  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

  // Further connections are refused; open ones stay.
  void StopListening();

  std::uint16_t port() const { return this->bound_port; }
  int requests() const { return this->count; }
  int connections() const { return this->connection_count; }
  std::size_t open_connections() const { return this->watchers.size(); }

 private:
  void Accept();
  void Read(int fd);

  base::Loop& loop;
  std::function<Answer(int)> answer;
  int listener = -1;
  std::uint16_t bound_port = 0;
  int count = 0;
  int connection_count = 0;
  std::map<int, std::string> received;
  std::map<int, std::unique_ptr<base::IoWatcher>> watchers;
  std::unique_ptr<base::IoWatcher> retired;
  std::unique_ptr<base::IoWatcher> acceptor;
};

}  // namespace quartzhoist::testing

#endif  // TESTING_RAW_SERVER_H_
