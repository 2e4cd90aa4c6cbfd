#include "http/message.h"

#include <strings.h>

#include <array>
#include <utility>

namespace quartzhoist::http {

namespace {

constexpr std::array<std::string_view, 10> kHopByHop{
    "Connection", "Keep-Alive",          "Proxy-Authenticate",
    "TE",         "Proxy-Authorization", "Trailer",
    "Upgrade",    "Transfer-Encoding",   "Proxy-Connection",
    "Expect"};

}  // namespace

bool SameName(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

const std::string* FindHeader(const Headers& headers, std::string_view name) {
  for (const Header& header : headers) {
    if (SameName(header.name, name))
      return &header.value;
  }
  return nullptr;
}

bool IsHopByHop(std::string_view name) {
  for (const std::string_view hop : kHopByHop) {
    if (SameName(hop, name))
      return true;
  }
  return false;
}

// An assignment or clear() would keep the memory.
void FreeText(std::string& text) {
  std::string().swap(text);
}

Response JsonResponse(int status, std::string body) {
  Response response{.status = status, .headers = {}, .body = std::move(body)};
  response.headers.push_back(
      {.name = "Content-Type", .value = std::string(kJson)});
  return response;
}

}  // namespace quartzhoist::http
