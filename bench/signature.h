// A number that stands for all decisions of a run: the same on every machine
// and every run, another as soon as one decision differs.

#ifndef BENCH_SIGNATURE_H_
#define BENCH_SIGNATURE_H_

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace quartzhoist::bench {

class Signature {
 public:
  void Add(std::string_view text) {
    this->state = XXH64(text.data(), text.size(), this->state);
  }
  void Add(std::uint64_t number) {
    this->state = XXH64(&number, sizeof number, this->state);
  }
  std::uint64_t value() const { return this->state; }

 private:
  std::uint64_t state = 0;
};

}  // namespace quartzhoist::bench

#endif  // BENCH_SIGNATURE_H_
