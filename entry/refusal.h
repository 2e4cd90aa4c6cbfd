// The HTTP response to a request that is refused.

#ifndef ENTRY_REFUSAL_H_
#define ENTRY_REFUSAL_H_

#include <chrono>
#include <string_view>

#include "http/message.h"

namespace quartzhoist::entry {

// Has the headers that the status requires; `retry_after` is sent with 503 and
// 429 only.
http::Response MakeRefusal(
    int status,
    std::string_view reason,
    std::chrono::seconds retry_after = std::chrono::seconds(1));

}  // namespace quartzhoist::entry

#endif  // ENTRY_REFUSAL_H_
