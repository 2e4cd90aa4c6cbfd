// What the traffic task and the control task tell each other.

#ifndef DAEMON_MESSAGES_H_
#define DAEMON_MESSAGES_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/verdict.h"
#include "dispatch/dispatcher.h"
#include "dispatch/routes.h"
#include "http/message.h"
#include "peer/message.h"
#include "table/stored_row.h"

namespace quartzhoist::daemon {

// A request of a caller, as both tasks name it.
using CallId = std::uint64_t;

// What is kept of a request that must run at most once.
struct ClaimKey {
  std::string service;
  std::string key;            // the caller's Idempotency-Key
  std::uint64_t fingerprint;  // of method, path and body
};

// --- To control.

// Claim the key before anything is sent.
struct WantClaim {
  CallId call = 0;
  ClaimKey key;
};

// The claimed request has its whole answer: keep it for repeats.
struct KeepOutcome {
  std::string claim_row;
  table::Version version = 0;
  std::uint64_t fingerprint = 0;
  http::Response answer;
};

// The claimed request did not run, and never will: free the key.
struct ReleaseClaim {
  std::string claim_row;
  table::Version version = 0;
};

// The leaving boxes that this process has nothing in flight to.
struct Drained {
  peer::DrainAck ack;
};

struct TrafficState {
  std::uint64_t ticket = 0;  // of the AskTrafficState
  std::vector<dispatch::ServiceView> services;
  std::vector<dispatch::TargetView> targets;
  std::size_t open_requests = 0;
  std::size_t claims_pending = 0;
};

struct TrafficStopped {};

using ToControl = std::variant<WantClaim,
                               KeepOutcome,
                               ReleaseClaim,
                               Drained,
                               TrafficState,
                               TrafficStopped>;

// --- To traffic.

struct InstallRoutes {
  dispatch::RoutesPtr routes;
};

// The key is ours: send the request, once.
struct ClaimGranted {
  std::string claim_row;
  table::Version version = 0;
};

// The key was claimed before. `outcome` is there once the answer is known.
struct ClaimTaken {
  std::uint64_t fingerprint = 0;
  bool has_outcome = false;
  http::Response outcome;
};

// The platform could not be asked; the request did not and will not run.
struct ClaimUnavailable {};

using ClaimAnswer = std::variant<ClaimGranted, ClaimTaken, ClaimUnavailable>;

struct ClaimDecided {
  CallId call = 0;
  ClaimAnswer answer;
};

struct AskTrafficState {
  std::uint64_t ticket = 0;
};

// Finish what is open, then answer TrafficStopped.
struct StopTraffic {};

using ToTraffic =
    std::variant<InstallRoutes, ClaimDecided, AskTrafficState, StopTraffic>;

}  // namespace quartzhoist::daemon

#endif  // DAEMON_MESSAGES_H_
