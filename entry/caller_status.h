// The HTTP statuses of responses to callers.

#ifndef ENTRY_CALLER_STATUS_H_
#define ENTRY_CALLER_STATUS_H_

namespace quartzhoist::entry {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kUnauthorized = 401;
inline constexpr int kNotFound = 404;
inline constexpr int kMethodNotAllowed = 405;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPayloadTooLarge = 413;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kServiceUnavailable = 503;  // not carried out
inline constexpr int kGatewayTimeout = 504;      // may have been carried out

}  // namespace quartzhoist::entry

#endif  // ENTRY_CALLER_STATUS_H_
