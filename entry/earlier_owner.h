// Asks the daemon that wrote a shard's lease record whether it still owns the
// shard. Once it does not, it grants no more leases, and the new owner need not
// wait as long as an owner without contact to the store may grant them.

#ifndef ENTRY_EARLIER_OWNER_H_
#define ENTRY_EARLIER_OWNER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/loop.h"
#include "entry/shards.h"
#include "http/client.h"

namespace quartzhoist::entry {

// A question of the owner of `epoch` to an earlier one.
struct OwnerQuestion {
  int shard = 0;
  std::uint64_t epoch = 0;
};

inline constexpr std::string_view kOwnerPath = "/owner";

// Path and query of the request.
std::string FormatOwnerQuestion(const OwnerQuestion& question);
// Empty if the target is malformed.
std::optional<OwnerQuestion> ParseOwnerQuestion(std::string_view target);
// Body of the answer: whether the process owns the shard under an earlier
// epoch.
std::string FormatOwnerAnswer(bool is_owner);

// Whether the process that answered says that it does not own the shard.
bool SaysNotOwner(const http::ClientResult& result);

class EarlierOwner {
 public:
  // `address` is where the daemon answers monitoring requests. `on_ended` is
  // called at most once. Asks until `give_up_at`.
  EarlierOwner(base::Loop& loop,
               http::Client& client,
               std::string address,
               const OwnerQuestion& question,
               base::Micros give_up_at,
               std::function<void()> on_ended);
  ~EarlierOwner();
  EarlierOwner(const EarlierOwner&) = delete;
  EarlierOwner& operator=(const EarlierOwner&) = delete;

 private:
  void Ask();
  void OnResult(const http::ClientResult& result);

  http::Client& client;
  std::string address;
  OwnerQuestion question;
  base::Micros give_up_at;
  std::function<void()> on_ended;
  base::Timer retry_timer;
  std::shared_ptr<bool> alive;
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_EARLIER_OWNER_H_
