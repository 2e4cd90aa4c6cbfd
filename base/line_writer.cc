#include "base/line_writer.h"

#include <poll.h>
#include <unistd.h>

namespace quartzhoist::base {

bool WriteLine(int fd, std::string_view line) {
  if (line.size() > kLongestLine)
    return false;
  pollfd ready{.fd = fd, .events = POLLOUT, .revents = 0};
  // A pipe that is ready for writing takes PIPE_BUF bytes at once.
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0)
    return false;
  const ssize_t written = write(fd, line.data(), line.size());
  return written == static_cast<ssize_t>(line.size());
}

}  // namespace quartzhoist::base
