// What daemons say to each other, as typed messages. The wire form is Thrift's
// compact protocol (messages.thrift); only message.cc knows it.

#ifndef PEER_MESSAGE_H_
#define PEER_MESSAGE_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "table/stored_row.h"

namespace quartzhoist::peer {

// The sender has nothing in flight to the box and sends it nothing new, as of
// the box row's epoch.
struct DrainAck {
  std::string box;
  table::Version epoch = 0;

  bool operator==(const DrainAck&) const = default;
};

struct Heartbeat {
  table::Version revision = 0;  // of the sender's snapshot
  bool stopping = false;
  std::vector<DrainAck> drained;

  bool operator==(const Heartbeat&) const = default;
};

// A piece of a delta. `goal` is the sender's revision; the piece that reaches
// it is the last. An answer to a pull may end before the goal.
struct DeltaPart {
  table::Delta delta;
  table::Version goal = 0;
  bool last_of_answer = false;
};

struct Pull {
  table::Version after = 0;
};

using Body = std::variant<Heartbeat, DeltaPart, Pull>;

struct Message {
  std::string cluster;
  std::string sender;
  std::string zone;
  std::uint64_t incarnation = 0;  // larger after each restart
  Body body;
};

std::string Encode(const Message& message);
// Throws std::runtime_error on anything malformed.
Message Decode(const std::string& datagram);

// Cuts a delta into parts that fit a datagram. Rows of one commit stay
// together.
std::vector<DeltaPart> Split(table::Delta delta);

}  // namespace quartzhoist::peer

#endif  // PEER_MESSAGE_H_
