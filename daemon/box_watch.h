// Keeps what the platform's lagging box list says of the boxes.

#ifndef DAEMON_BOX_WATCH_H_
#define DAEMON_BOX_WATCH_H_

#include <map>
#include <string>
#include <vector>

#include "platform/client.h"
#include "waves/facts.h"

namespace quartzhoist::daemon {

class BoxWatch {
 public:
  explicit BoxWatch(platform::Client& platform) : platform(platform) {}

  // Asks the platform for what changed.
  void Poll();

  std::uint64_t version() const { return this->list_version; }
  // Has the list been read at least once?
  bool known() const { return this->list_version > 0; }
  // What is known now; drained_epoch is left for the caller to fill.
  waves::Facts FactsNow() const;
  // Entry boxes that may still send to targets: those listed live, and those
  // lost no longer ago than `longest_request` seconds.
  std::vector<std::string> EntryBoxes(double longest_request) const;
  // Where entry boxes listen for peers.
  std::vector<std::string> EntryAddresses() const;

 private:
  void Take(const platform::BoxList& list);
  double GoneFor(const platform::ListedBox& box) const;

  platform::Client& platform;
  std::map<std::string, platform::ListedBox> boxes;
  std::uint64_t list_version = 0;
  double platform_now = 0;  // when the list was read, platform's clock
  base::Micros read_at{};   // the same, own clock
  bool polling = false;
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_BOX_WATCH_H_
