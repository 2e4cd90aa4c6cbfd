// The connections of a server: what each holds and since when, and which of
// them are closed when there is no room or their time is over. Pure: times are
// passed in.

#ifndef HTTP_CONNECTION_TABLE_H_
#define HTTP_CONNECTION_TABLE_H_

#include <array>
#include <chrono>
#include <cstddef>
#include <initializer_list>
#include <list>
#include <optional>

#include "base/clock.h"
#include "base/enum_names.h"

namespace quartzhoist::http {

enum class Phase {
  kIdle,       // between requests
  kReceiving,  // a request has begun and is not whole
  kServing,    // a handler has it: never closed by these limits
  kSending,    // its answer has not been taken whole
};

inline constexpr std::size_t kPhaseCount = 4;

inline constexpr base::EnumNames<Phase, kPhaseCount> kPhaseNames{{
    {Phase::kIdle, "idle"},
    {Phase::kReceiving, "receiving"},
    {Phase::kServing, "serving"},
    {Phase::kSending, "sending"},
}};

// Why a server closes a connection.
enum class CloseReason {
  kConnections,   // there are too many
  kBytes,         // they hold too many bytes
  kTime,          // its request, or its next one, takes too long
  kBodyTooLarge,  // its request is far over the limit
};

inline constexpr base::EnumNames<CloseReason, 4> kCloseReasonNames{{
    {CloseReason::kConnections, "connections"},
    {CloseReason::kBytes, "bytes"},
    {CloseReason::kTime, "time"},
    {CloseReason::kBodyTooLarge, "body_too_large"},
}};

struct ConnectionLimits {
  std::size_t connections = 4096;
  // Bytes of requests and of answers, over all connections.
  std::size_t held_bytes = 16'000'000;
  // For a request to arrive whole, and for its answer to be taken.
  base::Micros transfer_time = std::chrono::seconds(30);
  base::Micros idle_time = std::chrono::seconds(60);
};

class ConnectionTable {
 public:
  struct Entry {
    int fd = -1;
    Phase phase = Phase::kIdle;
    base::Micros since{};   // when the phase began
    std::size_t held = 0;   // bytes
    void* owner = nullptr;  // the caller's own record
  };
  using Handle = std::list<Entry>::iterator;

  explicit ConnectionTable(const ConnectionLimits& limits) : limits(limits) {}

  Handle Add(int fd, base::Micros now);
  void Remove(Handle connection);
  void SetPhase(Handle connection, Phase phase, base::Micros now);
  void SetHeld(Handle connection, std::size_t bytes);
  void SetLimits(const ConnectionLimits& next) { this->limits = next; }

  // Bytes of requests whose connection has ended while a handler has them.
  void AddDetached(std::size_t bytes) { this->detached += bytes; }
  void RemoveDetached(std::size_t bytes) { this->detached -= bytes; }

  std::size_t size() const { return this->count; }
  std::size_t held() const;
  // Whether requests that handlers have leave room for so many bytes more.
  bool HasRoomFor(std::size_t bytes) const;

  // The connection to close next, so that the limits hold again; empty if they
  // do, or if handlers have all that is over them.
  std::optional<Handle> OverConnections();
  std::optional<Handle> OverBytes();
  // The connection to close next since its time is over; empty if none is.
  std::optional<Handle> Expired(base::Micros now);

 private:
  // In the order in which their phase began.
  struct Group {
    std::list<Entry> members;
    std::size_t held = 0;
  };

  Group& At(Phase phase) {
    return this->groups[static_cast<std::size_t>(phase)];
  }
  const Group& At(Phase phase) const {
    return this->groups[static_cast<std::size_t>(phase)];
  }
  std::optional<Handle> OldestOf(std::initializer_list<Phase> phases);

  ConnectionLimits limits;
  std::array<Group, kPhaseCount> groups;
  std::size_t count = 0;
  std::size_t detached = 0;
};

}  // namespace quartzhoist::http

#endif  // HTTP_CONNECTION_TABLE_H_
