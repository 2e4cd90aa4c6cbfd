#include "base/ip_address.h"

#include <arpa/inet.h>

#include <array>
#include <charconv>

#include <fmt/format.h>

namespace quartzhoist::base {

std::optional<IpAddress> ParseIpAddress(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos)
    return std::nullopt;
  IpAddress address{.ip = std::string(text.substr(0, colon))};
  const char* end = text.data() + text.size();
  const auto [rest, error] =
      std::from_chars(text.data() + colon + 1, end, address.port);
  in_addr number{};
  const bool is_number = inet_pton(AF_INET, address.ip.c_str(), &number) == 1;
  if (error != std::errc() || rest != end || !is_number)
    return std::nullopt;
  return address;
}

std::string ToText(const IpAddress& address) {
  return fmt::format("{}:{}", address.ip, address.port);
}

sockaddr_in ToKernel(const IpAddress& address) {
  sockaddr_in kernel{};
  kernel.sin_family = AF_INET;
  kernel.sin_port = htons(address.port);
  inet_pton(AF_INET, address.ip.c_str(), &kernel.sin_addr);
  return kernel;
}

IpAddress FromKernel(const sockaddr_in& address) {
  std::array<char, INET_ADDRSTRLEN> text{};
  inet_ntop(AF_INET, &address.sin_addr, text.data(), text.size());
  return {.ip = text.data(), .port = ntohs(address.sin_port)};
}

}  // namespace quartzhoist::base
