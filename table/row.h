// The rows of the operators' table. A row is a pool, a service or a team; its
// cells hold weights, limits and order.

#ifndef TABLE_ROW_H_
#define TABLE_ROW_H_

#include <cstdint>
#include <string>
#include <variant>

#include "base/enum_names.h"

namespace quartzhoist::table {

enum class RowKind { kPool, kService, kTeam };

inline constexpr base::EnumNames<RowKind, 3> kRowKindNames{{
    {RowKind::kPool, "pool"},
    {RowKind::kService, "service"},
    {RowKind::kTeam, "team"},
}};

// The largest failure domain whose loss the pool's reserve must cover.
enum class Reserve { kNone, kRack, kZone };

inline constexpr base::EnumNames<Reserve, 3> kReserveNames{{
    {Reserve::kNone, "none"},
    {Reserve::kRack, "rack"},
    {Reserve::kZone, "zone"},
}};

enum class Urgency { kUrgent, kPatient };

inline constexpr base::EnumNames<Urgency, 2> kUrgencyNames{{
    {Urgency::kUrgent, "urgent"},
    {Urgency::kPatient, "patient"},
}};

// Which requests of a service may be sent a second time.
enum class Repeat {
  kMethod,  // those whose method is idempotent (RFC 9110, 9.2.2)
  kSafe,    // all
  kKeyed,   // none; POST and PATCH must carry an Idempotency-Key
};

inline constexpr base::EnumNames<Repeat, 3> kRepeatNames{{
    {Repeat::kMethod, "method"},
    {Repeat::kSafe, "safe"},
    {Repeat::kKeyed, "keyed"},
}};

struct PoolRow {
  std::string name;
  std::int64_t boxes = 0;  // boxes the pool should have
  std::int64_t wave = 1;   // boxes that may be on their way at once
  Reserve reserve = Reserve::kRack;
  std::int64_t order = 100;   // smaller numbers move first
  std::int64_t pace = 50;     // 0: least spare capacity, 100: fastest
  std::int64_t maintain = 0;  // boxes maintained below this number are due

  bool operator==(const PoolRow&) const = default;
};

struct ServiceRow {
  std::string name;
  std::string pool;
  Urgency urgency = Urgency::kPatient;
  std::int64_t order = 100;         // smaller numbers are served first
  std::int64_t weight = 1;          // share among services of the same order
  std::int64_t away = 20;           // percent of capacity that may be away
  std::int64_t deadline_ms = 5000;  // for requests that name none
  std::int64_t queue = 256;         // requests that may wait in one process
  Repeat repeat = Repeat::kMethod;

  bool operator==(const ServiceRow&) const = default;
};

struct TeamRow {
  std::string name;
  std::int64_t cores = 0;         // quota of processors
  std::int64_t accelerators = 0;  // quota of accelerators

  bool operator==(const TeamRow&) const = default;
};

using Row = std::variant<PoolRow, ServiceRow, TeamRow>;

RowKind KindOf(const Row& row);
const std::string& NameOf(const Row& row);
// "pool/press", the row's name among all rows.
std::string IdOf(const Row& row);

}  // namespace quartzhoist::table

#endif  // TABLE_ROW_H_
