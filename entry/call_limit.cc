#include "entry/call_limit.h"

namespace quartzhoist::entry {

bool CallLimit::Take(base::Micros now) {
  while (!this->calls.empty() &&
         now - this->calls.front() >= std::chrono::seconds(1))
    this->calls.pop_front();
  if (this->calls.size() >= this->max_calls)
    return false;
  this->calls.push_back(now);
  return true;
}

}  // namespace quartzhoist::entry
