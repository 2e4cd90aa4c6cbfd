// Rendezvous hashing: who answers for a key, agreed on without messages by
// all who know the same members. Two who know different members may both
// answer; the platform's conditional writes make that harmless.

#ifndef BASE_RENDEZVOUS_H_
#define BASE_RENDEZVOUS_H_

#include <cstdint>
#include <string_view>

#include <xxhash.h>

namespace quartzhoist::base {

inline std::uint64_t RendezvousWeight(std::string_view key,
                                      std::string_view member) {
  return XXH64(member.data(), member.size(), XXH64(key.data(), key.size(), 0));
}

// The member of `members` (a range of things with an `id`) that answers for
// `key`; null if there are none.
template <typename Members>
auto* RendezvousOwner(std::string_view key, Members& members) {
  decltype(&*members.begin()) owner = nullptr;
  std::uint64_t best = 0;
  for (auto& member : members) {
    const std::uint64_t weight = RendezvousWeight(key, member.id);
    if (!owner || weight > best) {
      owner = &member;
      best = weight;
    }
  }
  return owner;
}

}  // namespace quartzhoist::base

#endif  // BASE_RENDEZVOUS_H_
