#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "peer/message.h"

namespace quartzhoist::peer {
namespace {

Message Envelope(Body body) {
  return {.cluster = "c",
          .sender = "entry-1",
          .zone = "z",
          .incarnation = 7,
          .body = std::move(body)};
}

RC_BOOST_PROP(HeartbeatsRoundTrip, (std::uint32_t revision, bool stopping)) {
  Heartbeat heartbeat{.revision = revision, .stopping = stopping};
  const int acks = *rc::gen::inRange(0, 5);
  for (int i = 0; i < acks; ++i)
    heartbeat.drained.push_back(
        {"box-" + std::to_string(i), static_cast<table::Version>(i)});
  const Message message = Decode(Encode(Envelope(heartbeat)));
  RC_ASSERT(std::get<Heartbeat>(message.body) == heartbeat);
  RC_ASSERT(message.incarnation == 7u);
}

// Flips, cuts and inserts bytes of a real datagram.
RC_BOOST_PROP(DamagedDatagramsAreReadOrRefused, ()) {
  table::Delta delta{.after = 1, .upto = 9, .rows = {{"k", 9, "w", "value"}}};
  std::string datagram =
      *rc::gen::element(Encode(Envelope(Heartbeat{.drained = {{"b", 3}}})),
                        Encode(Envelope(Split(delta).front())),
                        Encode(Envelope(Pull{.after = 4})), std::string());
  const int changes = *rc::gen::inRange(1, 6);
  for (int i = 0; i < changes && !datagram.empty(); ++i) {
    const auto at = static_cast<std::size_t>(
        *rc::gen::inRange(0, static_cast<int>(datagram.size())));
    const char byte = *rc::gen::arbitrary<char>();
    switch (*rc::gen::inRange(0, 3)) {
      case 0:
        datagram[at] = byte;
        break;
      case 1:
        datagram.resize(at);
        break;
      default:
        datagram.insert(at, 1, byte);
    }
  }
  try {
    Decode(datagram);
  } catch (const std::runtime_error&) {
  }
}

RC_BOOST_PROP(PartsOfADeltaAreTheDelta, ()) {
  table::Delta delta{.after = 3, .upto = 3, .rows = {}};
  const int rows = *rc::gen::inRange(0, 40);
  for (int i = 0; i < rows; ++i) {
    delta.upto += static_cast<table::Version>(*rc::gen::inRange(0, 2));
    delta.rows.push_back(
        {"k" + std::to_string(i), std::max<table::Version>(delta.upto, 4), "w",
         std::string(static_cast<std::size_t>(*rc::gen::inRange(0, 400)),
                     'v')});
    delta.upto = std::max<table::Version>(delta.upto, 4);
  }
  table::Version reached = 3;
  std::size_t count = 0;
  for (const DeltaPart& part : Split(delta)) {
    RC_ASSERT(part.delta.after == reached);
    RC_ASSERT(part.goal == delta.upto);
    // Rows of one commit are never torn apart.
    for (const table::StoredRow& row : part.delta.rows)
      RC_ASSERT(row.version > reached && row.version <= part.delta.upto);
    reached = part.delta.upto;
    count += part.delta.rows.size();
  }
  RC_ASSERT(reached == delta.upto && count == delta.rows.size());
}

}  // namespace
}  // namespace quartzhoist::peer
