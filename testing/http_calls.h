// Requests of tests to an HTTP server on the same loop.

#ifndef TESTING_HTTP_CALLS_H_
#define TESTING_HTTP_CALLS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>

#include <boost/test/unit_test.hpp>

#include "base/loop.h"
#include "http/client.h"

namespace quartzhoist::testing {

inline constexpr base::Micros kLimit = std::chrono::seconds(10);

inline std::string Url(std::uint16_t port, const std::string& path = "/") {
  return "http://127.0.0.1:" + std::to_string(port) + path;
}

// Runs the loop until the request has ended, within a generous limit.
inline http::ClientResult Call(base::Loop& loop,
                               http::Client& client,
                               http::ClientRequest request) {
  std::optional<http::ClientResult> result;
  request.timeout = kLimit;
  client.Send(std::move(request), [&](http::ClientResult got) {
    result = std::move(got);
    loop.Stop();
  });
  loop.Run();
  BOOST_REQUIRE(result.has_value());
  return *result;
}

}  // namespace quartzhoist::testing

#endif  // TESTING_HTTP_CALLS_H_
