// HTTP messages as the rest of the product sees them.

#ifndef HTTP_MESSAGE_H_
#define HTTP_MESSAGE_H_

#include <string>
#include <string_view>
#include <vector>

namespace quartzhoist::http {

struct Header {
  std::string name;
  std::string value;
};

using Headers = std::vector<Header>;

struct Request {
  std::string method;
  std::string path;  // with the query, as it came
  Headers headers;
  std::string body;
};

struct Response {
  int status = 200;
  Headers headers;
  std::string body;
};

inline constexpr std::string_view kJson = "application/json";
inline constexpr std::string_view kProblemJson = "application/problem+json";

// Are two header names the same? Case does not count (RFC 9110, 5.1).
bool SameName(std::string_view a, std::string_view b);

// The first value of `name`, or null.
const std::string* FindHeader(const Headers& headers, std::string_view name);

// Does the header concern one connection only (RFC 9110, 7.6.1)? Such headers
// are never passed on.
bool IsHopByHop(std::string_view name);

// Empties the text and frees its memory.
void FreeText(std::string& text);

Response JsonResponse(int status, std::string body);

}  // namespace quartzhoist::http

#endif  // HTTP_MESSAGE_H_
