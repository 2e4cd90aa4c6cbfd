// What the daemons say to each other: one Message a datagram, in Thrift's
// compact protocol. To regenerate: scripts/generate

namespace cpp quartzhoist.peer.gen

// A row as the platform keeps it.
struct Row {
  1: string key
  2: i64 version
  3: string writer
  4: string value
}

// The sender has nothing in flight to the box, and sends it nothing new, as
// of the box row's epoch.
struct DrainAck {
  1: string box
  2: i64 epoch
}

// Sent to each peer at a fixed pace.
struct Heartbeat {
  1: i64 revision
  2: bool stopping
  3: list<DrainAck> drained
}

// Rows written after commit `after` up to `upto`, as of commit `goal`. The
// part with upto = goal is the last one; an answer to a Pull may end before.
struct DeltaPart {
  1: i64 after
  2: i64 upto
  3: i64 goal
  4: list<Row> rows
  5: bool lastOfAnswer
}

// Asks for what the sender lacks.
struct Pull {
  1: i64 after
}

union Body {
  1: Heartbeat heartbeat
  2: DeltaPart delta
  3: Pull pull
}

struct Message {
  1: string cluster
  2: string sender
  3: string zone
  4: i64 incarnation
  5: Body body
}
