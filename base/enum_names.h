// Tables of names for enumerations: one table serves printing and parsing.

#ifndef BASE_ENUM_NAMES_H_
#define BASE_ENUM_NAMES_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace quartzhoist::base {

template <typename E>
struct NamedValue {
  E value;
  std::string_view name;
};

template <typename E, std::size_t N>
using EnumNames = std::array<NamedValue<E>, N>;

// The name of `value`, or "unknown" where the table lacks it.
template <typename E, std::size_t N>
constexpr std::string_view NameOf(const EnumNames<E, N>& names, E value) {
  for (const NamedValue<E>& entry : names) {
    if (entry.value == value)
      return entry.name;
  }
  return "unknown";
}

// The value called `name`, or nothing.
template <typename E, std::size_t N>
constexpr std::optional<E> ValueOf(const EnumNames<E, N>& names,
                                   std::string_view name) {
  for (const NamedValue<E>& entry : names) {
    if (entry.name == name)
      return entry.value;
  }
  return std::nullopt;
}

}  // namespace quartzhoist::base

#endif  // BASE_ENUM_NAMES_H_
