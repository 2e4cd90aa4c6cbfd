// The statuses that callers are answered with.

#ifndef ENTRY_CALLER_STATUS_H_
#define ENTRY_CALLER_STATUS_H_

namespace quartzhoist::entry {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNoKey = 401;
inline constexpr int kNoQueue = 404;
inline constexpr int kNoMethod = 405;
inline constexpr int kNoJob = 410;
inline constexpr int kTooLarge = 413;
inline constexpr int kUnavailable = 503;  // nothing was done
inline constexpr int kUnknownFate = 504;  // it may have been done

}  // namespace quartzhoist::entry

#endif  // ENTRY_CALLER_STATUS_H_
