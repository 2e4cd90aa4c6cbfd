#include "daemon/box_watch.h"

#include <algorithm>

namespace quartzhoist::daemon {

namespace {

// Never shorter than this, however short the deadlines: the list lags.
constexpr double kShortestSilence = 120;

}  // namespace

void BoxWatch::Poll() {
  if (this->polling)
    return;
  this->polling = true;
  this->platform.ListBoxes(
      this->list_version,
      [this](const platform::Client::Answer<platform::BoxList>& answer) {
        this->polling = false;
        if (const auto* list = std::get_if<platform::BoxList>(&answer))
          this->Take(*list);
      });
}

void BoxWatch::Take(const platform::BoxList& list) {
  if (list.version < this->list_version)
    return;
  this->list_version = list.version;
  this->platform_now = list.now;
  this->read_at = base::MonotonicNow();
  for (const platform::ListedBox& box : list.boxes)
    this->boxes.insert_or_assign(box.name, box);
}

double BoxWatch::GoneFor(const platform::ListedBox& box) const {
  if (box.live)
    return 0;
  // As of the last reading: while the platform is out nobody grows older.
  return std::max(0.0, this->platform_now - box.since);
}

waves::Facts BoxWatch::FactsNow() const {
  waves::Facts facts;
  for (const auto& [name, box] : this->boxes) {
    if (!box.entry)
      facts.emplace(name, waves::BoxFacts{.live = box.live,
                                          .gone_for = this->GoneFor(box),
                                          .ready_epoch = box.ready_epoch});
  }
  return facts;
}

std::vector<std::string> BoxWatch::EntryBoxes(double longest_request) const {
  const double silence = std::max(longest_request, kShortestSilence);
  std::vector<std::string> names;
  for (const auto& [name, box] : this->boxes) {
    if (box.entry && (box.live || this->GoneFor(box) < silence))
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> BoxWatch::EntryAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [name, box] : this->boxes) {
    if (box.entry && box.live && !box.address.empty())
      addresses.push_back(box.address);
  }
  return addresses;
}

}  // namespace quartzhoist::daemon
