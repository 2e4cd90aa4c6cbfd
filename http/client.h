// HTTP/1.1 requests on a loop, by libcurl's multi interface. One request at a
// time on a connection; one whose request was not answered whole is closed.

#ifndef HTTP_CLIENT_H_
#define HTTP_CLIENT_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "base/verdict.h"
#include "http/message.h"

namespace quartzhoist::http {

struct ClientRequest {
  std::string method = "GET";
  std::string url;
  Headers headers;
  std::string body;
  base::Micros timeout{1'000'000};
  // On a connection of its own, closed afterwards. The library repeats a
  // request by itself when a used connection turns out to be closed; what must
  // run at most once cannot allow that.
  bool fresh_connection = false;
  // Asked right before it goes out on its connection, also when the library
  // repeats it: false gives it up. Unset: it may always go.
  std::function<bool()> may_send;
  // Goes out only on a connection that MarkConnection() has given this mark,
  // also when the library repeats it. Empty: on any.
  std::string mark;
  // Its connection is kept and will be marked, also where used connections are
  // not trusted.
  bool opens_marked_connection = false;
};

// Outcome of a request, over all its sends.
struct ClientResult {
  // kRan: `response` is the whole answer. kNotRun: no byte was sent.
  // kMayHaveRun: no whole answer, or the library sent an unsafe request more
  // than once and the last one was not done: an earlier one may have been.
  base::Verdict verdict = base::Verdict::kNotRun;
  // Its status is 0 without a whole answer. With kMayHaveRun it is the answer
  // to the last send and says nothing of the earlier ones.
  Response response;
  std::string error;  // for people; empty with kRan
  // The request was given up because its connection lacked the mark.
  bool lacks_mark = false;
  int local_port = 0;  // of the connection, if it is kept; else 0
};

using RequestId = std::uint64_t;

// Bytes that may be held together.
struct ByteBudget {
  std::size_t limit = 24'000'000;
  std::size_t used = 0;
};

class Client {
 public:
  struct Options {
    std::size_t max_answer = 8u << 20;  // bytes; a longer answer is an error
    // For all answers that are being received, shared by several clients; null:
    // one of its own. While it is exceeded, the client that receives gives its
    // longest answer up, like one that is longer than `max_answer`.
    std::shared_ptr<ByteBudget> answers;
    // Open at a time; further requests wait for one. 0: any number.
    long max_connections = 0;
    long max_idle_connections = 1024;
    // A connection that is closed with bytes on their way takes them along:
    // they are not delivered later, when a cut is over.
    bool reset_on_close = false;
    base::Counters* counters = nullptr;  // may be null
  };

  Client(base::Loop& loop, const Options& options);
  explicit Client(base::Loop& loop);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  // `done` is called once, later, unless the request is cancelled first.
  RequestId Send(ClientRequest request, std::function<void(ClientResult)> done);
  // Closes the request's connection; `done` is not called.
  void Cancel(RequestId id);
  // Gives up all requests: each `done` is called, before this returns, as if
  // no answer had come.
  void GiveUpAll();
  // The same for requests to `host` ("ip:port") that have been in flight for
  // longer than `limit`, and never uses again a connection to it that was used
  // before now: all of them may have fallen silent.
  void GiveUpSilent(const std::string& host, base::Micros limit);

  // Marks the connection to `host` ("ip:port") from this port. What a peer has
  // said of itself holds for as long as its connection lasts.
  void MarkConnection(const std::string& host,
                      int local_port,
                      const std::string& mark);
  // Whether a connection to `host` with this mark is in no request's use. It
  // may have been closed by the peer.
  bool HasIdleConnection(const std::string& host,
                         const std::string& mark) const;

  std::size_t in_flight() const { return this->calls.size(); }
  std::uint64_t bytes_sent() const { return this->total_sent; }
  std::uint64_t bytes_received() const { return this->total_received; }

 private:
  struct Call;
  struct Callbacks;
  struct Watched;
  struct MarkedConnection {
    std::string mark;
    bool is_in_use = false;
  };

  void Act(int fd, int events);
  void Finish();
  void Complete(Call& call, int curl_code);
  void Release(RequestId id);
  void TakeBytes(Call& call, std::size_t bytes);
  void ReturnBytes(Call& call);
  void GiveUpLongest();
  void NoteSilence(const Call& call);
  void NoteRepetition(const Call& call, const ClientResult& result) const;
  bool WantsFresh(const std::string& host);
  bool UseConnection(Call& call, int local_port);
  void ReleaseConnection(const Call& call);
  MarkedConnection* FindMarked(const std::string& host, int local_port);
  long MaxIdleSeconds(const std::string& host) const;

  base::Loop& loop;
  Options options;
  void* multi;
  base::Timer timer;
  std::unordered_map<RequestId, std::unique_ptr<Call>> calls;
  std::unordered_map<int, std::unique_ptr<Watched>> sockets;
  // By "ip:port": until when no used connection to it is trusted.
  std::unordered_map<std::string, base::Micros> fresh_until;
  // By "ip:port": connections to it that were last used before are not trusted.
  std::unordered_map<std::string, base::Micros> silent_at;
  // By "ip:port" and local port.
  std::unordered_map<std::string, std::unordered_map<int, MarkedConnection>>
      marked;
  std::vector<void*> idle_handles;
  std::vector<std::unique_ptr<Watched>> retired;
  RequestId last_id = 0;
  std::uint64_t total_sent = 0;
  std::uint64_t total_received = 0;
  std::size_t receiving = 0;  // bytes of answers that are not whole
};

}  // namespace quartzhoist::http

#endif  // HTTP_CLIENT_H_
