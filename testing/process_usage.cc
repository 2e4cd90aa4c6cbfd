#include "testing/process_usage.h"

#include <netinet/in.h>

#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <system_error>

#include <fmt/format.h>

#include "base/ip_address.h"

namespace quartzhoist::testing {

namespace {

constexpr std::int64_t kBytesPerKilobyte = 1024;

constexpr const char* kListening = "0A";

// A line of /proc/net/tcp.
struct Socket {
  std::string local;
  std::string state;
  std::int64_t unread = 0;
  std::string inode;  // 0: not accepted yet
};

Socket ParseSocket(const std::string& line) {
  Socket socket;
  std::istringstream words(line);
  std::string slot;
  std::string remote;
  std::string queues;  // to be sent : to be read, in hexadecimal
  std::string timer;
  std::string retries;
  std::string user;
  std::string timeout;
  words >> slot >> socket.local >> remote >> socket.state >> queues >> timer >>
      retries >> user >> timeout >> socket.inode;
  socket.unread = std::stoll(queues.substr(queues.find(':') + 1), nullptr, 16);
  return socket;
}

// The targets of the process's descriptors, as in /proc/PID/fd.
std::vector<std::string> DescriptorTargets(pid_t process) {
  std::vector<std::string> targets;
  std::error_code gone;
  std::filesystem::directory_iterator entry(fmt::format("/proc/{}/fd", process),
                                            gone);
  while (!gone && entry != std::filesystem::directory_iterator()) {
    std::error_code closed;
    targets.push_back(
        std::filesystem::read_symlink(entry->path(), closed).string());
    entry.increment(gone);
  }
  return targets;
}

// An address as /proc/net/tcp writes it: the network's bytes as a number.
std::string KernelText(const std::string& address) {
  const sockaddr_in kernel =
      base::ToKernel(base::ParseIpAddress(address).value());
  return fmt::format("{:08X}:{:04X}", kernel.sin_addr.s_addr,
                     ntohs(kernel.sin_port));
}

}  // namespace

std::int64_t PeakMemory(pid_t process) {
  std::ifstream in(fmt::format("/proc/{}/status", process));
  std::string line;
  while (std::getline(in, line)) {
    std::istringstream words(line);
    std::string name;
    std::int64_t kilobytes = 0;
    words >> name >> kilobytes;
    if (name == "VmHWM:")
      return kilobytes * kBytesPerKilobyte;
  }
  return 0;
}

int OpenDescriptors(pid_t process) {
  return static_cast<int>(DescriptorTargets(process).size());
}

std::int64_t UnreadBytes(pid_t process,
                         const std::vector<std::string>& listening) {
  const std::vector<std::string> open = DescriptorTargets(process);
  const std::set<std::string> own(open.begin(), open.end());
  std::set<std::string> local;
  for (const std::string& address : listening)
    local.insert(KernelText(address));
  std::ifstream in("/proc/net/tcp");
  std::string line;
  std::getline(in, line);  // the names of the columns
  std::int64_t bytes = 0;
  while (std::getline(in, line)) {
    const Socket socket = ParseSocket(line);
    const bool is_unaccepted =
        socket.inode == "0" && local.contains(socket.local);
    if (socket.state != kListening &&
        (is_unaccepted || own.contains("socket:[" + socket.inode + "]")))
      bytes += socket.unread;
  }
  return bytes;
}

}  // namespace quartzhoist::testing
