// The stand-in of the service that lists, moves and maintains the boxes of the
// workers.

#include <algorithm>
#include <cstdint>
#include <string>

#include <nlohmann/json.hpp>

#include "testing/worker_standin.h"

namespace quartzhoist::testing {

namespace {

using nlohmann::json;

constexpr int kRejected = 409;

}  // namespace

void WorkerStandins::TakeDown(const std::string& box, const std::string& pool) {
  const auto found = this->lives.find(box);
  if (found == this->lives.end())
    return;
  this->ended.push_back(found->second);
  this->End(*found->second);
  this->lives.erase(found);
  this->away[box] = base::MonotonicNow() + this->away_time;
  this->pools[box] = pool;
}

void WorkerStandins::HandleBoxes(const http::ExchangePtr& exchange) {
  if (this->box_mood == BoxMood::kBusy) {
    exchange->Reply(http::JsonResponse(503, "{}"));
    return;
  }
  const http::Request& request = exchange->request();
  if (request.method == "GET") {
    json list = {{"machines", json::array()}, {"nextToken", nullptr}};
    for (const auto& [box, life] : this->lives) {
      list["machines"].push_back({{"machine", box},
                                  {"pool", life->pool},
                                  {"state", "up"},
                                  {"capacity", {{"cpu", life->cpu}}},
                                  {"id", life->id}});
    }
    for (const auto& [box, until] : this->away) {
      list["machines"].push_back(
          {{"machine", box}, {"pool", this->pools[box]}, {"state", "upkeep"}});
    }
    exchange->Reply(http::JsonResponse(200, list.dump()));
    return;
  }
  // A caller of a daemon that has ended may meet its port here.
  const json body = json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("machine")) {
    exchange->Reply(http::JsonResponse(400, "{}"));
    return;
  }
  const auto box = body.at("machine").get<std::string>();
  const std::string* token = http::FindHeader(request.headers, "Fence-Token");
  const std::uint64_t epoch = token ? std::stoull(*token) : 0;
  if (!this->Obeys(this->box_epochs[box], box, epoch)) {
    exchange->Reply(http::JsonResponse(kRejected, R"({"reason":"fence"})"));
    return;
  }
  const auto life = this->lives.find(box);
  if (life == this->lives.end()) {
    exchange->Reply(http::JsonResponse(kRejected, R"({"reason":"busy"})"));
    return;
  }
  // A call for what has been done already changes nothing.
  if (request.path == "/machine-upkeep") {
    const bool is_new =
        this->upkeeps_done.emplace(box, body.at("wave").get<int>()).second;
    if (is_new) {
      ++this->upkeep_count;
      this->TakeDown(box, life->second->pool);
      this->most_away_count =
          std::max(this->most_away_count, this->away.size());
    }
  } else if (const auto pool = body.at("pool").get<std::string>();
             pool != life->second->pool) {
    this->TakeDown(box, pool);
  }
  if (this->box_mood == BoxMood::kLosesAnswers)
    exchange->Cut();
  else
    exchange->Reply(http::JsonResponse(200, "{}"));
}

}  // namespace quartzhoist::testing
