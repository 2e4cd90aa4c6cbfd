#include "entry/box_lister.h"

#include <algorithm>
#include <utility>

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

constexpr base::Micros kMinListPeriod = milliseconds(1500);
constexpr double kShareOfReads = 0.5;
// Delay before a page that was not answered is read again, and the range of a
// random one on top, so that owners that were throttled together spread out.
constexpr base::Micros kPageRetryDelay = milliseconds(1000);
constexpr std::int64_t kPageRetryJitterMillis = 500;
// A page that fails this often may not be known to the platform any more.
constexpr int kMaxPageFailures = 8;

}  // namespace

base::Micros BoxListPeriod(int pages, int shards, double reads_per_second) {
  const double seconds =
      pages * shards / (kShareOfReads * std::max(reads_per_second, 1e-3));
  return std::max(kMinListPeriod,
                  base::Micros(static_cast<std::int64_t>(seconds * 1e6)));
}

BoxLister::BoxLister(base::Loop& loop,
                     platform::Boxes& service,
                     const Shard& own,
                     double rate,
                     std::uint64_t seed,
                     OnListed handler)
    : boxes(service),
      shard(own),
      reads_per_second(rate),
      random(seed),
      on_listed(std::move(handler)),
      retry_timer(loop, [this] { this->RetryPage(); }),
      alive(std::make_shared<bool>(true)) {}

BoxLister::~BoxLister() {
  *this->alive = false;
}

void BoxLister::ListIfDue(base::Micros now) {
  if (this->is_listing || now < this->next_list)
    return;
  this->Begin(now);
}

void BoxLister::Begin(base::Micros now) {
  this->is_listing = true;
  this->asked = now;
  this->next_page.clear();
  this->pages_read = 0;
  this->page_failures = 0;
  this->boxes_so_far.clear();
  this->ReadPage();
}

void BoxLister::RetryPage() {
  if (this->page_failures < kMaxPageFailures)
    this->ReadPage();
  else
    this->Begin(base::MonotonicNow());
}

void BoxLister::ReadPage() {
  this->boxes.List(this->next_page, [this, alive = this->alive](
                                        std::optional<platform::BoxPage> page) {
    if (*alive)
      this->OnPage(std::move(page));
  });
}

// A page without an answer is read again by itself. Begun anew, a long list
// would never be complete while other owners use up the rate.
void BoxLister::OnPage(std::optional<platform::BoxPage> page) {
  if (!page) {
    ++this->page_failures;
    const auto jitter = milliseconds(
        this->random() % static_cast<std::uint64_t>(kPageRetryJitterMillis));
    this->retry_timer.StartOnce(kPageRetryDelay + jitter);
    return;
  }
  ++this->pages_read;
  this->page_failures = 0;
  for (scheduler::BoxInfo& box : page->boxes) {
    if (ShardContainsBox(this->shard, box.name))
      this->boxes_so_far.push_back(std::move(box));
  }
  this->next_page = page->next;
  if (!this->next_page.empty()) {
    this->ReadPage();
    return;
  }
  this->is_listing = false;
  this->next_list =
      this->asked + BoxListPeriod(this->pages_read, this->shard.count,
                                  this->reads_per_second);
  this->on_listed(std::exchange(this->boxes_so_far, {}), this->asked);
}

}  // namespace quartzhoist::entry
