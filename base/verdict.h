// Whether a request, or a write to the platform, may have taken effect.

#ifndef BASE_VERDICT_H_
#define BASE_VERDICT_H_

#include <string_view>

#include "base/enum_names.h"

namespace quartzhoist::base {

enum class Verdict {
  kNotRun,      // It did not run, and nobody will run it later.
  kMayHaveRun,  // Nobody can tell; only safe requests may be repeated.
  kRan,         // It ran, and its whole answer is known.
};

inline constexpr EnumNames<Verdict, 3> kVerdictNames{{
    {Verdict::kNotRun, "not_run"},
    {Verdict::kMayHaveRun, "may_have_run"},
    {Verdict::kRan, "ran"},
}};

constexpr std::string_view Name(Verdict verdict) {
  return NameOf(kVerdictNames, verdict);
}

}  // namespace quartzhoist::base

#endif  // BASE_VERDICT_H_
