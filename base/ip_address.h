// "ip:port" as people write it, and the kernel's form.

#ifndef BASE_IP_ADDRESS_H_
#define BASE_IP_ADDRESS_H_

#include <netinet/in.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quartzhoist::base {

struct IpAddress {
  std::string ip;
  std::uint16_t port = 0;
};

// Nothing unless the text is an IPv4 number, a colon and a port.
std::optional<IpAddress> ParseIpAddress(std::string_view text);
std::string ToText(const IpAddress& address);

sockaddr_in ToKernel(const IpAddress& address);
IpAddress FromKernel(const sockaddr_in& address);

}  // namespace quartzhoist::base

#endif  // BASE_IP_ADDRESS_H_
