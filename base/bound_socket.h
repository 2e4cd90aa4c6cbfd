// Opens sockets bound to an address.

#ifndef BASE_BOUND_SOCKET_H_
#define BASE_BOUND_SOCKET_H_

#include "base/ip_address.h"

namespace quartzhoist::base {

struct BoundSocket {
  int fd = -1;        // non-blocking; the receiver closes it
  IpAddress address;  // as bound: a port 0 has been chosen by the kernel
};

// Both throw std::runtime_error if the address cannot be bound.
BoundSocket OpenListener(const IpAddress& address);  // TCP, listening
BoundSocket OpenDatagram(const IpAddress& address);  // UDP

}  // namespace quartzhoist::base

#endif  // BASE_BOUND_SOCKET_H_
