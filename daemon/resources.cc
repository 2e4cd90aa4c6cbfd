#include "daemon/resources.h"

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

#include <fstream>

namespace quartzhoist::daemon {

namespace {

double CpuSeconds(int who) {
  constexpr double kMicros = 1e-6;
  rusage usage{};
  getrusage(who, &usage);
  const auto seconds = usage.ru_utime.tv_sec + usage.ru_stime.tv_sec;
  const auto micros = usage.ru_utime.tv_usec + usage.ru_stime.tv_usec;
  return static_cast<double>(seconds) + static_cast<double>(micros) * kMicros;
}

}  // namespace

double ThreadCpuSeconds() {
  return CpuSeconds(RUSAGE_THREAD);
}

double ProcessCpuSeconds() {
  return CpuSeconds(RUSAGE_SELF);
}

std::uint64_t ResidentBytes() {
  std::ifstream statm("/proc/self/statm");
  std::uint64_t total = 0;
  std::uint64_t resident = 0;
  statm >> total >> resident;
  return resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

void ReleaseFreeMemory() {
  malloc_trim(0);
}

}  // namespace quartzhoist::daemon
