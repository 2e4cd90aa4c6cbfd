// Which daemons are alive, as far as this one can tell: a pure decision on
// heartbeats heard, the platform's box list and the time. There is no leader
// and nothing is agreed on; whoever acts on it wrongly loses at the platform.

#ifndef MEMBERSHIP_MEMBERSHIP_H_
#define MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "table/stored_row.h"

namespace quartzhoist::membership {

struct Identity {
  std::string id;
  std::string zone;
  std::uint64_t incarnation = 0;
};

// What a heartbeat tells.
struct Sign {
  Identity sender;
  std::string address;  // where it came from, "ip:port"
  table::Version revision = 0;
  bool stopping = false;
  std::map<std::string, table::Version> drained;  // box to epoch
};

struct Member {
  std::string id;
  std::string zone;
  std::string address;
  std::uint64_t incarnation = 0;
  table::Version revision = 0;
  base::Micros last_heard{};
  base::Micros last_told{};  // when a heartbeat was last sent to it
  std::map<std::string, table::Version> drained;
  bool live = false;
};

enum class Change { kNone, kJoined, kLost };

class Membership {
 public:
  // `seeds`: addresses to tell of ourselves before anything is heard.
  Membership(Identity self, std::vector<std::string> seeds);

  // Commands. An older incarnation's sign changes nothing.
  Change Hear(const Sign& sign, base::Micros now);
  // Addresses of entry boxes that the platform lists, besides the seeds.
  void SetListed(std::vector<std::string> addresses);
  // Returns who was lost. To be called every kTickPeriod.
  std::vector<Member> Tick(base::Micros now);
  // Addresses that a heartbeat is due for now; they count as told.
  std::vector<std::string> DueHeartbeats(base::Micros now);

  // Queries.
  const Identity& self() const { return this->own; }
  const std::map<std::string, Member>& members() const { return this->known; }
  // Ids of the live daemons of a zone, this one included, in order.
  std::vector<std::string> LiveIn(std::string_view zone) const;
  std::vector<std::string> LiveEverywhere() const;
  // Does this daemon answer for `key` among `ids`? Two that know different
  // members may both say so.
  bool Answers(std::string_view key, const std::vector<std::string>& ids) const;
  // How long this process did not run before the last tick; zero normally.
  base::Micros last_pause() const { return this->pause; }

  static constexpr base::Micros kTickPeriod{500'000};

 private:
  bool IsKnown(const std::string& address) const;
  base::Micros TimeoutOf(const Member& member) const;

  Identity own;
  std::vector<std::string> seeds;
  std::vector<std::string> listed;
  std::map<std::string, Member> known;
  base::Micros last_tick{};
  base::Micros last_seed_call{};
  base::Micros pause{};
};

}  // namespace quartzhoist::membership

#endif  // MEMBERSHIP_MEMBERSHIP_H_
