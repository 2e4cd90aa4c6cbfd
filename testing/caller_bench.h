// A daemon's interface to callers on a store stand-in, and a client of it.

#ifndef TESTING_CALLER_BENCH_H_
#define TESTING_CALLER_BENCH_H_

#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "entry/caller_api.h"
#include "http/client.h"
#include "http/server.h"
#include "platform/records.h"
#include "testing/store_bench.h"

namespace quartzhoist::testing {

struct CallerBench : StoreBench {
  CallerBench() {
    jobs::Config config;
    jobs::Queue queue;
    queue.name = "q";
    queue.host = "h.example";
    queue.path_prefix = "/p/";
    queue.service = "s";
    config.queues.push_back(queue);
    this->api.SetConfig(config);
    this->api.SetShards(1, [](const auto&, const auto&, const auto&,
                              const auto& chosen) { chosen(0); });
  }

  http::Response Call(const std::string& method,
                      const std::string& path,
                      const std::string& body = "",
                      const std::string& host = "h.example",
                      const std::string& deadline_ms = "2000") {
    std::optional<http::Response> response;
    http::ClientRequest request;
    request.method = method;
    request.url =
        "http://127.0.0.1:" + std::to_string(this->server.port()) + path;
    request.headers = {{.name = "Host", .value = host},
                       {.name = "Deadline-Ms", .value = deadline_ms}};
    if (!this->authorization.empty())
      request.headers.push_back(
          {.name = "Authorization", .value = this->authorization});
    request.body = body;
    request.timeout = std::chrono::seconds(20);
    this->client.Send(std::move(request), [&](const http::ClientResult& got) {
      response = got.response;
    });
    this->Until([&] { return response.has_value(); });
    return *response;
  }

  // No feed confirms the configuration in these tests.
  void WaitUntilConfigIsStale() {
    const base::Micros until =
        base::MonotonicNow() + platform::Deployment{}.config_in_force;
    this->Until([until] { return base::MonotonicNow() > until; });
  }

  std::string authorization;  // of the following calls; empty: none
  entry::CallerApi api{this->loop, this->store, this->counters,
                       [this](const platform::Row& row) {
                         this->api.SetConfig(platform::ParseConfig(row.value));
                       }};
  http::Server server{this->loop,
                      {},
                      [this](const http::ExchangePtr& exchange) {
                        this->api.Handle(exchange);
                      }};
};

inline constexpr const char* kJobPath = "/p/5c0e7a21d94b36f8";
inline constexpr const char* kJobId = "5c0e7a21d94b36f8";
inline constexpr const char* kBody = R"({"spec":"t","steps":[{"count":2}]})";

inline const platform::RowKey kConfigRow{
    .table = std::string(platform::kOperatorTable),
    .part = "",
    .key = std::string(platform::kConfigKey)};

}  // namespace quartzhoist::testing

#endif  // TESTING_CALLER_BENCH_H_
