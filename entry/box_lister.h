// Reads the platform's list of boxes, page by page, and keeps the boxes of one
// shard. The owners of all shards share the rate at which the platform answers
// such reads.

#ifndef ENTRY_BOX_LISTER_H_
#define ENTRY_BOX_LISTER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "base/loop.h"
#include "entry/shards.h"
#include "platform/workers.h"
#include "scheduler/facts.h"

namespace quartzhoist::entry {

// Time between the starts of two lists of `pages` pages by each of `shards`
// owners, so that together they take half of the allowed reads a second at
// most.
base::Micros BoxListPeriod(int pages, int shards, double reads_per_second);

class BoxLister {
 public:
  // `asked`: when the list was begun. It may be that old.
  using OnListed =
      std::function<void(const std::vector<scheduler::BoxInfo>& boxes,
                         base::Micros asked)>;

  // `reads_per_second`: pages that the platform answers, for all daemons.
  BoxLister(base::Loop& loop,
            platform::Boxes& boxes,
            const Shard& shard,
            double reads_per_second,
            std::uint64_t seed,
            OnListed on_listed);
  ~BoxLister();
  BoxLister(const BoxLister&) = delete;
  BoxLister& operator=(const BoxLister&) = delete;

  // Begins a list unless one is in progress or was begun within the period.
  void ListIfDue(base::Micros now);

 private:
  void Begin(base::Micros now);
  void ReadPage();
  void RetryPage();
  void OnPage(std::optional<platform::BoxPage> page);

  platform::Boxes& boxes;
  Shard shard;
  double reads_per_second;
  std::mt19937_64 random;
  OnListed on_listed;
  // The list in progress.
  bool is_listing = false;
  std::string next_page;  // empty: the first
  int pages_read = 0;
  int page_failures = 0;  // of the next page, in a row
  std::vector<scheduler::BoxInfo> boxes_so_far;
  base::Micros asked{};

  base::Micros next_list{};
  base::Timer retry_timer;
  std::shared_ptr<bool> alive;  // false once this is destroyed
};

}  // namespace quartzhoist::entry

#endif  // ENTRY_BOX_LISTER_H_
