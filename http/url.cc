#include "http/url.h"

#include <string_view>

namespace quartzhoist::http {

namespace {

constexpr std::string_view kScheme = "http://";

}  // namespace

std::string HostOf(const std::string& url) {
  const std::size_t end = url.find('/', kScheme.size());
  return url.substr(kScheme.size(), end - kScheme.size());
}

std::string PathOf(const std::string& url) {
  const std::size_t begin = url.find('/', kScheme.size());
  return begin == std::string::npos
             ? ""
             : url.substr(begin, url.find('?', begin) - begin);
}

}  // namespace quartzhoist::http
