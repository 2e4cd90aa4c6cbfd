#include "http/connection_table.h"

namespace quartzhoist::http {

ConnectionTable::Handle ConnectionTable::Add(int fd, base::Micros now) {
  std::list<Entry>& idle = this->At(Phase::kIdle).members;
  ++this->count;
  return idle.insert(idle.end(), {.fd = fd, .since = now});
}

void ConnectionTable::Remove(Handle connection) {
  Group& group = this->At(connection->phase);
  group.held -= connection->held;
  group.members.erase(connection);
  --this->count;
}

void ConnectionTable::SetPhase(Handle connection,
                               Phase phase,
                               base::Micros now) {
  Group& from = this->At(connection->phase);
  Group& to = this->At(phase);
  from.held -= connection->held;
  to.held += connection->held;
  to.members.splice(to.members.end(), from.members, connection);
  connection->phase = phase;
  connection->since = now;
}

void ConnectionTable::SetHeld(Handle connection, std::size_t bytes) {
  Group& group = this->At(connection->phase);
  group.held = group.held - connection->held + bytes;
  connection->held = bytes;
}

std::size_t ConnectionTable::held() const {
  std::size_t sum = this->detached;
  for (const Group& group : this->groups)
    sum += group.held;
  return sum;
}

bool ConnectionTable::HasRoomFor(std::size_t bytes) const {
  return this->At(Phase::kServing).held + this->detached + bytes <=
         this->limits.held_bytes;
}

// The oldest: an ordinary request takes milliseconds, so that among many it is
// one of the youngest, while a client that stalls grows old however many bytes
// it sends meanwhile.
std::optional<ConnectionTable::Handle> ConnectionTable::OverConnections() {
  if (this->count <= this->limits.connections)
    return std::nullopt;
  return this->OldestOf({Phase::kIdle, Phase::kReceiving, Phase::kSending});
}

std::optional<ConnectionTable::Handle> ConnectionTable::OverBytes() {
  // One alone is let through: an answer may be larger than the limit.
  const std::size_t transfers = this->At(Phase::kReceiving).members.size() +
                                this->At(Phase::kSending).members.size();
  if (this->held() <= this->limits.held_bytes || transfers <= 1)
    return std::nullopt;
  return this->OldestOf({Phase::kReceiving, Phase::kSending});
}

std::optional<ConnectionTable::Handle> ConnectionTable::Expired(
    base::Micros now) {
  const auto oldest = this->OldestOf({Phase::kReceiving, Phase::kSending});
  if (oldest && now - (*oldest)->since > this->limits.transfer_time)
    return oldest;
  const auto idle = this->OldestOf({Phase::kIdle});
  if (idle && now - (*idle)->since > this->limits.idle_time)
    return idle;
  return std::nullopt;
}

std::optional<ConnectionTable::Handle> ConnectionTable::OldestOf(
    std::initializer_list<Phase> phases) {
  std::optional<Handle> oldest;
  for (const Phase phase : phases) {
    std::list<Entry>& members = this->At(phase).members;
    if (!members.empty() &&
        (!oldest || members.front().since < (*oldest)->since))
      oldest = members.begin();
  }
  return oldest;
}

}  // namespace quartzhoist::http
