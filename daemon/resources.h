// What the process itself uses.

#ifndef DAEMON_RESOURCES_H_
#define DAEMON_RESOURCES_H_

#include <cstdint>

namespace quartzhoist::daemon {

// Processor seconds of the calling thread, and of the whole process.
double ThreadCpuSeconds();
double ProcessCpuSeconds();

// Resident memory in bytes; 0 if the kernel does not tell.
std::uint64_t ResidentBytes();

// Gives memory that the allocator keeps for later back to the system.
void ReleaseFreeMemory();

}  // namespace quartzhoist::daemon

#endif  // DAEMON_RESOURCES_H_
