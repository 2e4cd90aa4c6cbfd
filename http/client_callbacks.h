// The HTTP library's callbacks and options of a client's requests, apart from
// its header so that the library's types stay out of that.

#ifndef HTTP_CLIENT_CALLBACKS_H_
#define HTTP_CLIENT_CALLBACKS_H_

#include <cstddef>
#include <functional>

#include <curl/curl.h>

#include "base/clock.h"
#include "base/loop.h"
#include "http/client.h"
#include "http/message.h"

namespace quartzhoist::http {

// A request that is in flight.
struct Client::Call {
  Client* client;
  RequestId id;
  base::Micros sent_at{};
  CURL* easy;
  ClientRequest request;
  std::function<void(ClientResult)> done;
  curl_slist* header_list = nullptr;
  Response response;
  std::size_t header_bytes = 0;
  std::size_t held = 0;  // bytes of the answer
  bool over_limit = false;
  int times_sent = 0;
  int local_port = 0;  // of its connection; 0: it has none yet
  bool lacks_mark = false;
  bool closes_connection = false;   // whatever the answer is
  bool is_connection_kept = false;  // known once the request is over
};

// A socket of the library's that the loop watches.
struct Client::Watched {
  Watched(base::Loop& loop, int fd, int events, Client* client)
      : watcher(loop, fd, events, [client, fd](int ready) {
          client->Act(fd, ready);
        }) {}

  base::IoWatcher watcher;
};

struct Client::Callbacks {
  static int Socket(CURL*, curl_socket_t fd, int what, void* user, void*);
  static int Timeout(CURLM*, long millis, void* user);
  static std::size_t Body(char* data, std::size_t, std::size_t n, void* user);
  static std::size_t HeaderLine(char* data,
                                std::size_t,
                                std::size_t n,
                                void* user);
  static int SocketOptions(void* user, curl_socket_t fd, curlsocktype);
  static int BeforeSending(void* user, char*, char*, int, int);
  static void SetMethod(CURL* easy, const ClientRequest& request);
  static void SetHeaders(Call& call);
  static void SetOptions(Call& call);
};

}  // namespace quartzhoist::http

#endif  // HTTP_CLIENT_CALLBACKS_H_
