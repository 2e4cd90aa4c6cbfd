// Reads single values of a settings file. Each throws a std::string that says
// what would fit; the caller adds file, line and key.

#ifndef BASE_SETTING_VALUES_H_
#define BASE_SETTING_VALUES_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace quartzhoist::base {

// 1 to 63 of a-z, 0-9 and -_./
std::string TakeIdentifier(const std::string& value);
// An IP number and port, such as 10.0.0.1:8080.
std::string TakeAddress(const std::string& value);
std::int64_t TakeWhole(const std::string& value,
                       std::int64_t least,
                       std::int64_t most);
// true or false
bool TakeTruth(const std::string& value);
double TakeNumber(const std::string& value, double least, double most);
// A number of seconds, perhaps with a fraction.
Micros TakeSeconds(const std::string& value, double least, double most);

}  // namespace quartzhoist::base

#endif  // BASE_SETTING_VALUES_H_
