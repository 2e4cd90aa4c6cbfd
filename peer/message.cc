#include "peer/message.h"

#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include "peer/gen/messages_types.h"

namespace quartzhoist::peer {

namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using Protocol = TCompactProtocolT<TMemoryBuffer>;

// With the envelope below the smallest MTU that IPv6 allows.
constexpr std::size_t kPartBytes = 1000;
constexpr std::size_t kRowOverhead = 16;

// Bounds on what a malformed datagram can make the decoder allocate.
constexpr std::int32_t kMaxString = 64 * 1024;
constexpr std::int32_t kMaxList = 4096;

gen::Row ToWire(const table::StoredRow& row) {
  gen::Row wire;
  wire.key = row.key;
  wire.version = static_cast<std::int64_t>(row.version);
  wire.writer = row.writer;
  wire.value = row.value;
  return wire;
}

gen::Body ToWire(const Heartbeat& heartbeat) {
  gen::Heartbeat wire;
  wire.revision = static_cast<std::int64_t>(heartbeat.revision);
  wire.stopping = heartbeat.stopping;
  for (const DrainAck& ack : heartbeat.drained) {
    gen::DrainAck wire_ack;
    wire_ack.box = ack.box;
    wire_ack.epoch = static_cast<std::int64_t>(ack.epoch);
    wire.drained.push_back(std::move(wire_ack));
  }
  gen::Body body;
  body.__set_heartbeat(wire);
  return body;
}

gen::Body ToWire(const DeltaPart& part) {
  gen::DeltaPart wire;
  wire.after = static_cast<std::int64_t>(part.delta.after);
  wire.upto = static_cast<std::int64_t>(part.delta.upto);
  wire.goal = static_cast<std::int64_t>(part.goal);
  wire.lastOfAnswer = part.last_of_answer;
  for (const table::StoredRow& row : part.delta.rows)
    wire.rows.push_back(ToWire(row));
  gen::Body body;
  body.__set_delta(wire);
  return body;
}

gen::Body ToWire(const Pull& pull) {
  gen::Pull wire;
  wire.after = static_cast<std::int64_t>(pull.after);
  gen::Body body;
  body.__set_pull(wire);
  return body;
}

table::Version ToVersion(std::int64_t number) {
  if (number < 0)
    throw std::runtime_error("a version is negative");
  return static_cast<table::Version>(number);
}

Body FromWire(const gen::Heartbeat& wire) {
  Heartbeat heartbeat{.revision = ToVersion(wire.revision),
                      .stopping = wire.stopping,
                      .drained = {}};
  for (const gen::DrainAck& ack : wire.drained)
    heartbeat.drained.push_back(
        {.box = ack.box, .epoch = ToVersion(ack.epoch)});
  return heartbeat;
}

Body FromWire(const gen::DeltaPart& wire) {
  DeltaPart part{.delta = {.after = ToVersion(wire.after),
                           .upto = ToVersion(wire.upto),
                           .rows = {}},
                 .goal = ToVersion(wire.goal),
                 .last_of_answer = wire.lastOfAnswer};
  for (const gen::Row& row : wire.rows)
    part.delta.rows.push_back({.key = row.key,
                               .version = ToVersion(row.version),
                               .writer = row.writer,
                               .value = row.value});
  if (part.delta.upto > part.goal || part.delta.after > part.delta.upto)
    throw std::runtime_error("a delta's bounds are out of order");
  return part;
}

Body FromWire(const gen::Body& wire) {
  if (wire.__isset.heartbeat)
    return FromWire(wire.heartbeat);
  if (wire.__isset.delta)
    return FromWire(wire.delta);
  if (wire.__isset.pull)
    return Pull{.after = ToVersion(wire.pull.after)};
  throw std::runtime_error("a message without a body");
}

std::size_t SizeOf(const table::StoredRow& row) {
  return row.key.size() + row.writer.size() + row.value.size() + kRowOverhead;
}

}  // namespace

std::string Encode(const Message& message) {
  gen::Message wire;
  wire.cluster = message.cluster;
  wire.sender = message.sender;
  wire.zone = message.zone;
  wire.incarnation = static_cast<std::int64_t>(message.incarnation);
  wire.body =
      std::visit([](const auto& body) { return ToWire(body); }, message.body);
  const auto buffer = std::make_shared<TMemoryBuffer>();
  Protocol protocol(buffer);
  wire.write(&protocol);
  return buffer->getBufferAsString();
}

Message Decode(const std::string& datagram) {
  auto* bytes =
      reinterpret_cast<std::uint8_t*>(const_cast<char*>(datagram.data()));
  const auto buffer = std::make_shared<TMemoryBuffer>(
      bytes, static_cast<std::uint32_t>(datagram.size()));
  Protocol protocol(buffer, kMaxString, kMaxList);
  gen::Message wire;
  try {
    wire.read(&protocol);
  } catch (const std::exception& error) {
    throw std::runtime_error(error.what());
  }
  if (wire.cluster.empty() || wire.sender.empty() || wire.zone.empty())
    throw std::runtime_error("a message without sender");
  return {.cluster = wire.cluster,
          .sender = wire.sender,
          .zone = wire.zone,
          .incarnation = ToVersion(wire.incarnation),
          .body = FromWire(wire.body)};
}

std::vector<DeltaPart> Split(table::Delta delta) {
  std::sort(delta.rows.begin(), delta.rows.end(),
            [](const table::StoredRow& a, const table::StoredRow& b) {
              return a.version < b.version;
            });
  std::vector<DeltaPart> parts;
  DeltaPart part{
      .delta = {.after = delta.after, .upto = delta.after, .rows = {}},
      .goal = delta.upto};
  std::size_t bytes = 0;
  for (table::StoredRow& row : delta.rows) {
    const bool same_commit = row.version == part.delta.upto;
    if (bytes + SizeOf(row) > kPartBytes && !same_commit && bytes > 0) {
      const table::Version reached = part.delta.upto;
      parts.push_back(std::move(part));
      part = {.delta = {.after = reached, .upto = reached, .rows = {}},
              .goal = delta.upto};
      bytes = 0;
    }
    bytes += SizeOf(row);
    part.delta.upto = row.version;
    part.delta.rows.push_back(std::move(row));
  }
  part.delta.upto = delta.upto;
  parts.push_back(std::move(part));
  return parts;
}

}  // namespace quartzhoist::peer
