#include "base/setting_values.h"

#include <charconv>

#include <fmt/format.h>

#include "base/ip_address.h"

namespace quartzhoist::base {

namespace {

constexpr std::size_t kMaxIdentifier = 63;

template <typename Number>
Number Parse(const std::string& value,
             Number least,
             Number most,
             const char* kind) {
  Number number{};
  const char* end = value.data() + value.size();
  const auto [rest, error] = std::from_chars(value.data(), end, number);
  if (error != std::errc() || rest != end || number < least || number > most)
    throw fmt::format("'{}' is not a {} from {} to {}", value, kind, least,
                      most);
  return number;
}

}  // namespace

std::string TakeIdentifier(const std::string& value) {
  const bool fits =
      !value.empty() && value.size() <= kMaxIdentifier &&
      value.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789-_./") ==
          std::string::npos;
  if (!fits)
    throw fmt::format("'{}' must be 1 to {} of a-z, 0-9 and -_./", value,
                      kMaxIdentifier);
  return value;
}

std::string TakeAddress(const std::string& value) {
  if (!ParseIpAddress(value))
    throw fmt::format(
        "'{}' is not an IP number and port, such as 10.0.0.1:8080", value);
  return value;
}

std::int64_t TakeWhole(const std::string& value,
                       std::int64_t least,
                       std::int64_t most) {
  return Parse(value, least, most, "whole number");
}

bool TakeTruth(const std::string& value) {
  if (value != "true" && value != "false")
    throw std::string("must be true or false");
  return value == "true";
}

double TakeNumber(const std::string& value, double least, double most) {
  return Parse(value, least, most, "number");
}

Micros TakeSeconds(const std::string& value, double least, double most) {
  const double seconds = Parse(value, least, most, "number");
  return Micros(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace quartzhoist::base
