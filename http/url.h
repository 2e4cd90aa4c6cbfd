// Parts of a URL "http://ip:port/path?query".

#ifndef HTTP_URL_H_
#define HTTP_URL_H_

#include <string>

namespace quartzhoist::http {

// Its "ip:port".
std::string HostOf(const std::string& url);

// Its "/path", without the query; empty if there is none.
std::string PathOf(const std::string& url);

}  // namespace quartzhoist::http

#endif  // HTTP_URL_H_
