#include "entry/refusal.h"

#include <string>

#include "entry/caller_status.h"
#include "platform/records.h"

namespace quartzhoist::entry {

http::Response MakeRefusal(int status,
                           std::string_view reason,
                           std::chrono::seconds retry_after) {
  http::Response response =
      http::JsonResponse(status, platform::ProblemBody(reason));
  if (status == kServiceUnavailable || status == kTooManyRequests)
    response.headers.push_back(
        {.name = "Retry-After", .value = std::to_string(retry_after.count())});
  if (status == kUnauthorized)
    response.headers.push_back({.name = "WWW-Authenticate", .value = "Token"});
  return response;
}

}  // namespace quartzhoist::entry
