// A process's memory, descriptors and unread bytes, as the kernel counts them.

#ifndef TESTING_PROCESS_USAGE_H_
#define TESTING_PROCESS_USAGE_H_

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace quartzhoist::testing {

// High-water mark of the memory, in bytes; 0 if there is no such process.
std::int64_t PeakMemory(pid_t process);

// Open descriptors; 0 if there is no such process.
int OpenDescriptors(pid_t process);

// Bytes that have arrived for the process and that it has not read: on its
// connections, and on those to the addresses ("ip:port") at which it listens
// that it has not accepted yet.
std::int64_t UnreadBytes(pid_t process,
                         const std::vector<std::string>& listening);

}  // namespace quartzhoist::testing

#endif  // TESTING_PROCESS_USAGE_H_
