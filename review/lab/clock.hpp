// Time and the record of what was sent, answered and run.

#ifndef REVIEW_LAB_CLOCK_HPP_
#define REVIEW_LAB_CLOCK_HPP_

#include <chrono>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>

namespace review {

// Milliseconds of a steady clock.
inline std::int64_t NowMillis() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}

inline void SleepMillis(std::int64_t millis) {
  std::this_thread::sleep_for(std::chrono::milliseconds(millis));
}

// Lines with the milliseconds since the record was begun.
class Record {
 public:
  explicit Record(const std::string& file) : out(file), began(NowMillis()) {}

  void Add(const std::string& line) {
    const std::lock_guard guard(this->lock);
    this->out << NowMillis() - this->began << " ms " << line << std::endl;
  }

 private:
  std::mutex lock;
  std::ofstream out;
  std::int64_t began;
};

}  // namespace review

#endif  // REVIEW_LAB_CLOCK_HPP_
