// What is known of the boxes besides their rows.

#ifndef WAVES_FACTS_H_
#define WAVES_FACTS_H_

#include <string>
#include <unordered_map>

#include "table/stored_row.h"

namespace quartzhoist::waves {

struct BoxFacts {
  bool live = true;
  double gone_for = 0;               // seconds since the platform lost it
  table::Version ready_epoch = 0;    // the platform readied it as of this epoch
  table::Version drained_epoch = 0;  // every entry box acknowledged this epoch
};

// By the box's name; a box that is not listed is live.
using Facts = std::unordered_map<std::string, BoxFacts>;

}  // namespace quartzhoist::waves

#endif  // WAVES_FACTS_H_
