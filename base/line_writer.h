// Writes lines to a descriptor without ever waiting for its reader, and bounds
// how many lines of a kind go out in a second.

#ifndef BASE_LINE_WRITER_H_
#define BASE_LINE_WRITER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "base/clock.h"

namespace quartzhoist::base {

// Longest line, with its line feed: what a pipe takes as a whole (PIPE_BUF).
inline constexpr std::size_t kLongestLine = 4096;

// False if the line was left out: the reader does not keep up or is gone, or
// the line is too long.
bool WriteLine(int fd, std::string_view line);

// Limits on the number of lines of each kind.
template <std::size_t Kinds>
class LineBudget {
 public:
  // Lines of one kind in a second. A busy second of 50 workers starts 300
  // tasks (a day of 6,817 runs in 34 s, with a hump of four times that).
  static constexpr std::uint32_t kLinesASecond = 200;

  // Takes one from the budget; false if there is none left in this second.
  bool Take(std::size_t kind, Micros now) {
    this->Turn(now);
    if (this->used[kind] >= kLinesASecond) {
      ++this->left_out[kind];
      return false;
    }
    ++this->used[kind];
    return true;
  }

  // Lines of the kind left out in earlier seconds; told once.
  std::uint64_t TakeLeftOut(std::size_t kind, Micros now) {
    this->Turn(now);
    const std::uint64_t count = this->reported[kind];
    this->reported[kind] = 0;
    return count;
  }

 private:
  void Turn(Micros now) {
    const std::int64_t second = now.count() / 1'000'000;
    if (second == this->current_second)
      return;
    this->current_second = second;
    for (std::size_t kind = 0; kind < Kinds; ++kind) {
      this->used[kind] = 0;
      this->reported[kind] += this->left_out[kind];
      this->left_out[kind] = 0;
    }
  }

  std::int64_t current_second = 0;
  std::array<std::uint32_t, Kinds> used{};
  std::array<std::uint64_t, Kinds> left_out{};
  std::array<std::uint64_t, Kinds> reported{};
};

}  // namespace quartzhoist::base

#endif  // BASE_LINE_WRITER_H_
