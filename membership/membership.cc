#include "membership/membership.h"

#include <algorithm>
#include <utility>

#include "base/rendezvous.h"

namespace quartzhoist::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Within a zone members share targets, so a loss must be seen soon. Between
// zones a slower pace keeps a daemon among 81 under 7 KB/s (CAPACITY.md).
constexpr base::Micros kZonePace = seconds(1);
constexpr base::Micros kFarPace = seconds(4);
constexpr base::Micros kSeedPace = seconds(2);
constexpr base::Micros kZoneTimeout = milliseconds(3500);
constexpr base::Micros kFarTimeout = milliseconds(14'000);
// A member that was lost this long ago is forgotten.
constexpr base::Micros kForgetAfter = seconds(600);
// A tick this late means that the process itself was stopped for a while.
constexpr base::Micros kPauseAbove = seconds(2);

}  // namespace

Membership::Membership(Identity self, std::vector<std::string> addresses)
    : own(std::move(self)), seeds(std::move(addresses)) {}

base::Micros Membership::TimeoutOf(const Member& member) const {
  return member.zone == this->own.zone ? kZoneTimeout : kFarTimeout;
}

Change Membership::Hear(const Sign& sign, base::Micros now) {
  if (sign.sender.id == this->own.id)
    return Change::kNone;
  Member& member = this->known[sign.sender.id];
  // 1. A message of a process that has been replaced since.
  if (sign.sender.incarnation < member.incarnation)
    return Change::kNone;
  // 2. What it says of itself now. A restarted process has acknowledged
  //    nothing, and its revision may be smaller than its predecessor's.
  member.id = sign.sender.id;
  member.zone = sign.sender.zone;
  member.address = sign.address;
  member.incarnation = sign.sender.incarnation;
  member.revision = sign.revision;
  member.drained = sign.drained;
  member.last_heard = now;
  // 3. Did it join or leave?
  const bool was_live = std::exchange(member.live, !sign.stopping);
  if (was_live == member.live)
    return Change::kNone;
  return member.live ? Change::kJoined : Change::kLost;
}

std::vector<Member> Membership::Tick(base::Micros now) {
  // 1. Silence while this process did not run proves nothing about others.
  const base::Micros gap =
      this->last_tick.count() == 0 ? base::Micros{} : now - this->last_tick;
  this->last_tick = now;
  this->pause = gap > kPauseAbove ? gap : base::Micros{};
  for (auto& [id, member] : this->known)
    member.last_heard += this->pause;
  // 2. Who has been silent for too long.
  std::vector<Member> lost;
  for (auto& [id, member] : this->known) {
    if (!member.live || now - member.last_heard <= this->TimeoutOf(member))
      continue;
    member.live = false;
    lost.push_back(member);
  }
  std::erase_if(this->known, [now](const auto& entry) {
    return !entry.second.live && now - entry.second.last_heard > kForgetAfter;
  });
  return lost;
}

std::vector<std::string> Membership::DueHeartbeats(base::Micros now) {
  std::vector<std::string> due;
  for (auto& [id, member] : this->known) {
    // A lost one is still told: it may be only the way back that is cut.
    const bool near = member.live && member.zone == this->own.zone;
    const base::Micros pace = near ? kZonePace : kFarPace;
    if (now - member.last_told < pace)
      continue;
    member.last_told = now;
    due.push_back(member.address);
  }
  if (now - this->last_seed_call<kSeedPace&& this->last_seed_call.count()> 0)
    return due;
  this->last_seed_call = now;
  for (const auto* addresses : {&this->seeds, &this->listed}) {
    for (const std::string& address : *addresses) {
      if (!this->IsKnown(address))
        due.push_back(address);
    }
  }
  return due;
}

void Membership::SetListed(std::vector<std::string> addresses) {
  this->listed = std::move(addresses);
}

bool Membership::IsKnown(const std::string& address) const {
  return std::any_of(
      this->known.begin(), this->known.end(), [&address](const auto& entry) {
        return entry.second.address == address && entry.second.live;
      });
}

std::vector<std::string> Membership::LiveIn(std::string_view zone) const {
  std::vector<std::string> ids;
  if (zone == this->own.zone)
    ids.push_back(this->own.id);
  for (const auto& [id, member] : this->known) {
    if (member.live && member.zone == zone)
      ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

std::vector<std::string> Membership::LiveEverywhere() const {
  std::vector<std::string> ids{this->own.id};
  for (const auto& [id, member] : this->known) {
    if (member.live)
      ids.push_back(id);
  }
  std::sort(ids.begin(), ids.end());
  return ids;
}

bool Membership::Answers(std::string_view key,
                         const std::vector<std::string>& ids) const {
  const std::uint64_t mine = base::RendezvousWeight(key, this->own.id);
  return std::none_of(ids.begin(), ids.end(), [&](const std::string& id) {
    return id != this->own.id && base::RendezvousWeight(key, id) > mine;
  });
}

}  // namespace quartzhoist::membership
