#include "daemon/control.h"

#include <csignal>

#include <algorithm>
#include <chrono>
#include <limits>
#include <random>
#include <set>
#include <utility>

#include <fmt/format.h>

#include "base/event_log.h"
#include "base/ip_address.h"
#include "base/rendezvous.h"
#include "daemon/operators.h"
#include "daemon/resources.h"
#include "dispatch/routes.h"

namespace quartzhoist::daemon {

namespace {

using base::Counter;
using base::Event;
using std::chrono::milliseconds;

// The zone's reader asks the platform this often: with the push to its peers
// an edit made through another zone is in force within about a second.
constexpr base::Micros kFollowerTick = milliseconds(1000);
// The others ask every so many ticks, in case the reader is frozen.
constexpr int kIdleReaderTicks = 10;
constexpr base::Micros kWavesTick = milliseconds(1000);
// Ticks between two plans while nothing changes.
constexpr int kIdleWaveTicks = 30;
constexpr std::size_t kFarPushes = 8;
// Now and then what the allocator keeps goes back to the system: reading a
// large fleet needs several times what it leaves behind.
constexpr int kTrimTicks = 30;
constexpr int kFirstTrimTick = 4;
// The zone's reader changes after this many seconds.
constexpr std::int64_t kReaderTermSeconds = 60;

// Larger after each restart: by the wall clock, in microseconds.
std::uint64_t NewIncarnation() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

std::string WriterPrefix(const membership::Identity& self) {
  return fmt::format("{}/{}", self.id, self.incarnation);
}

std::vector<std::string> Without(std::vector<std::string> addresses,
                                 const std::string& own) {
  std::erase(addresses, own);
  return addresses;
}

// Seconds that a request of any service may take.
double LongestDeadline(const table::Snapshot& snapshot) {
  std::int64_t longest_ms = 0;
  for (const auto& [id, row] : snapshot.rows()) {
    if (const auto* service = std::get_if<table::ServiceRow>(&row))
      longest_ms = std::max(longest_ms, service->deadline_ms);
  }
  return base::Seconds(std::chrono::milliseconds(longest_ms));
}

http::ServerOptions OperatorsOptions(const Settings& settings) {
  const base::IpAddress address =
      base::ParseIpAddress(settings.operators).value();
  return {.address = address.ip, .port = address.port, .max_connections = 256};
}

}  // namespace

Control::Control(const Settings& chosen,
                 base::Counters& counts,
                 std::function<void(ToTraffic)> tell)
    : settings(chosen),
      counters(counts),
      tell_traffic(std::move(tell)),
      mailbox(this->loop,
              [this](ToControl message) { this->Receive(std::move(message)); }),
      members({.id = chosen.id,
               .zone = chosen.zone,
               .incarnation = NewIncarnation()},
              Without(chosen.seeds, chosen.peers)),
      writer_prefix(WriterPrefix(this->members.self())),
      platform(this->loop, counts, chosen.platform),
      follower(
          this->platform,
          counts,
          {.installed = [this](const table::Delta& delta,
                               bool fresh) { this->OnInstalled(delta, fresh); },
           .send = [this](const std::string& to,
                          const peer::Body& body) { this->SendTo(to, body); }}),
      claims(this->loop,
             this->platform,
             counts,
             this->writer_prefix,
             [this](ClaimDecided decided) {
               this->tell_traffic(std::move(decided));
             }),
      box_watch(this->platform),
      wave_driver(this->platform, this->follower, counts, this->writer_prefix),
      editor(this->platform, this->follower, counts, this->writer_prefix),
      socket(this->loop,
             chosen.peers,
             [this](const std::string& from, const std::string& datagram) {
               this->ReceiveDatagram(from, datagram);
             }),
      operators(std::make_unique<Operators>(*this)),
      server(this->loop,
             OperatorsOptions(chosen),
             [this](const http::ExchangePtr& exchange) {
               this->operators->Handle(exchange);
             }),
      members_timer(this->loop, [this] { this->TickMembers(); }),
      follower_timer(this->loop, [this] { this->TickFollower(); }),
      waves_timer(this->loop, [this] { this->TickWaves(); }),
      stop_timer(this->loop, [this] { this->tell_traffic(StopTraffic{}); }),
      on_term(this->loop, SIGTERM, [this] { this->BeginStop(); }),
      on_interrupt(this->loop, SIGINT, [this] { this->BeginStop(); }) {
  this->members_timer.StartEvery(membership::Membership::kTickPeriod);
  this->follower_timer.StartEvery(kFollowerTick);
  this->waves_timer.StartEvery(kWavesTick);
}

Control::~Control() = default;

void Control::Run() {
  this->TickFollower();
  this->TickMembers();
  this->loop.Run();
}

void Control::Receive(ToControl message) {
  std::visit([this](const auto& typed) { this->Take(typed); }, message);
}

void Control::Take(const WantClaim& message) {
  this->claims.Want(message);
}

void Control::Take(const KeepOutcome& message) {
  this->claims.Keep(message);
}

void Control::Take(const ReleaseClaim& message) {
  this->claims.Release(message);
}

void Control::Take(const Drained& message) {
  base::Log(Event::kBoxDrained,
            {{"box", message.ack.box}, {"epoch", message.ack.epoch}});
  this->drained[message.ack.box] = message.ack.epoch;
  // Whoever drives the box's pool waits for this: tell all at once.
  std::vector<std::string> addresses;
  for (const auto& [id, member] : this->members.members())
    addresses.push_back(member.address);
  this->SendHeartbeats(addresses);
}

void Control::Take(const TrafficState& message) {
  const auto found = this->asked.find(message.ticket);
  if (found == this->asked.end())
    return;
  const auto answer = std::move(found->second);
  this->asked.erase(found);
  answer(message);
}

void Control::Take(const TrafficStopped&) {
  this->loop.Stop();
}

void Control::ReceiveDatagram(const std::string& from,
                              const std::string& datagram) {
  this->counters.Add(Counter::kControlBytesReceived, datagram.size());
  peer::Message message;
  try {
    message = peer::Decode(datagram);
  } catch (const std::exception& error) {
    this->counters.Add(Counter::kPeerMessagesBad);
    base::Log(Event::kPeerMessageBad,
              {{"from", from}, {"problem", error.what()}});
    return;
  }
  if (message.cluster != this->settings.cluster) {
    this->counters.Add(Counter::kPeerMessagesBad);
    return;
  }
  if (message.sender == this->settings.id)
    return;
  std::visit([&](const auto& body) { this->Handle(message, from, body); },
             message.body);
}

void Control::Handle(const peer::Message& message,
                     const std::string& from,
                     const peer::Heartbeat& body) {
  const base::Micros now = base::MonotonicNow();
  membership::Sign sign{.sender = {.id = message.sender,
                                   .zone = message.zone,
                                   .incarnation = message.incarnation},
                        .address = from,
                        .revision = body.revision,
                        .stopping = body.stopping,
                        .drained = {}};
  for (const peer::DrainAck& ack : body.drained)
    sign.drained[ack.box] = ack.epoch;
  const membership::Change change = this->members.Hear(sign, now);
  if (change == membership::Change::kJoined) {
    base::Log(Event::kMemberJoined, {{"member", message.sender},
                                     {"zone", message.zone},
                                     {"address", from}});
    // It hears of us now, not only at the next beat.
    this->SendHeartbeats({from});
  }
  if (change == membership::Change::kLost)
    base::Log(Event::kMemberLost,
              {{"member", message.sender}, {"reason", "stopping"}});
  if (change != membership::Change::kNone)
    this->InstallRoutes();
  this->follower.NoteRevision(from, body.revision, now);
  this->NoteInForce();
}

void Control::Handle(const peer::Message&,
                     const std::string& from,
                     const peer::DeltaPart& body) {
  this->follower.TakePart(from, body, base::MonotonicNow());
}

void Control::Handle(const peer::Message&,
                     const std::string& from,
                     const peer::Pull& body) {
  for (const peer::DeltaPart& part : this->follower.AnswerPull(body))
    this->SendTo(from, part);
}

void Control::SendTo(const std::string& address, const peer::Body& body) {
  const membership::Identity& self = this->members.self();
  const std::string datagram = peer::Encode({.cluster = this->settings.cluster,
                                             .sender = self.id,
                                             .zone = self.zone,
                                             .incarnation = self.incarnation,
                                             .body = body});
  this->counters.Add(Counter::kControlBytesSent, datagram.size());
  this->socket.Send(address, datagram);
}

void Control::TickMembers() {
  const base::Micros now = base::MonotonicNow();
  const std::vector<membership::Member> lost = this->members.Tick(now);
  if (this->members.last_pause().count() > 0)
    base::Log(Event::kResumedAfterPause,
              {{"seconds", base::Seconds(this->members.last_pause())}});
  for (const membership::Member& member : lost)
    base::Log(Event::kMemberLost,
              {{"member", member.id}, {"reason", "silent"}});
  if (!lost.empty())
    this->InstallRoutes();
  this->SendHeartbeats(this->members.DueHeartbeats(now));
}

void Control::SendHeartbeats(const std::vector<std::string>& addresses) {
  peer::Heartbeat heartbeat{.revision = this->follower.current()->revision(),
                            .stopping = this->stopping,
                            .drained = {}};
  for (const auto& [box, epoch] : this->drained)
    heartbeat.drained.push_back({.box = box, .epoch = epoch});
  for (const std::string& address : addresses)
    this->SendTo(address, heartbeat);
}

// One daemon of a zone asks the platform often and tells the others. Who it is
// follows from the members and the time; two at once cost reads, no more.
bool Control::ReadsForZone() const {
  const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(
      std::chrono::system_clock::now().time_since_epoch());
  const std::string term = fmt::format("reader/{}/{}", this->settings.zone,
                                       seconds.count() / kReaderTermSeconds);
  return this->members.Answers(term, this->members.LiveIn(this->settings.zone));
}

void Control::TickFollower() {
  ++this->follower_ticks;
  if (this->follower_ticks % kTrimTicks == kFirstTrimTick)
    ReleaseFreeMemory();
  const bool due = this->follower_ticks % kIdleReaderTicks == 0;
  const bool unsure =
      !this->follower.has_table() || !this->platform.reachable();
  if (this->ReadsForZone() || due || unsure)
    this->follower.Poll();
  this->box_watch.Poll();
  this->members.SetListed(
      Without(this->box_watch.EntryAddresses(), this->settings.peers));
}

void Control::OnInstalled(const table::Delta& delta, bool fresh) {
  const table::Snapshot& snapshot = *this->follower.current();
  base::Log(Event::kSnapshotInstalled,
            {{"revision", snapshot.revision()},
             {"source", fresh ? "platform" : "peer"}});
  // 1. Acknowledgements of drains that are over are not repeated any more.
  std::erase_if(this->drained, [&snapshot](const auto& entry) {
    const table::Box* box = snapshot.FindBox(entry.first);
    return !box || box->state == table::BoxState::kServing;
  });
  // 2. The dispatcher.
  this->InstallRoutes();
  // 3. What the platform told us goes to the peers at once.
  if (!fresh || delta.rows.empty())
    return;
  this->Push(delta);
  this->spreading = delta.upto;
  this->spreading_since = base::MonotonicNow();
}

// To the own zone, and to a few daemons elsewhere: today that is all of them,
// and at 81 the rest hears of it from its zone's reader within a second.
void Control::Push(const table::Delta& delta) {
  const std::vector<peer::DeltaPart> parts = peer::Split(delta);
  std::size_t far = 0;
  for (const auto& [id, member] : this->members.members()) {
    if (!member.live || member.revision >= delta.upto)
      continue;
    const bool is_near = member.zone == this->settings.zone;
    if (!is_near && ++far > kFarPushes)
      continue;
    for (const peer::DeltaPart& part : parts)
      this->SendTo(member.address, part);
  }
}

void Control::InstallRoutes() {
  this->tell_traffic(daemon::InstallRoutes{
      .routes = dispatch::BuildRoutes(
          *this->follower.current(),
          {.self = this->settings.id,
           .zone = this->settings.zone,
           .zone_members = this->members.LiveIn(this->settings.zone)})});
}

// How long the latest commit took until every live member had it.
void Control::NoteInForce() {
  if (this->spreading == 0)
    return;
  for (const auto& [id, member] : this->members.members()) {
    if (member.live && member.revision < this->spreading)
      return;
  }
  this->last_spread = base::MonotonicNow() - this->spreading_since;
  this->spreading = 0;
}

void Control::TickWaves() {
  if (!this->platform.reachable() || !this->box_watch.known() || this->stopping)
    return;
  const std::vector<std::string> live = this->members.LiveEverywhere();
  // The same rows, boxes and members make the same plan. Acknowledgements and
  // the age of failures change without them: they are looked at while boxes
  // are on their way, and now and then.
  const WaveInputs inputs{.revision = this->follower.current()->revision(),
                          .box_list = this->box_watch.version(),
                          .live = live.size()};
  const bool idle = !this->wave_driver.busy() && inputs == this->planned_with;
  if (idle && ++this->wave_ticks < kIdleWaveTicks)
    return;
  this->wave_ticks = 0;
  this->planned_with = inputs;
  this->wave_driver.Drive(this->FactsNow(), [&](const std::string& pool) {
    return this->members.Answers("pool/" + pool, live);
  });
}

waves::Facts Control::FactsNow() const {
  waves::Facts facts = this->box_watch.FactsNow();
  // Every entry box that the platform lists, and every one that was heard.
  std::vector<std::string> entries =
      this->box_watch.EntryBoxes(LongestDeadline(*this->follower.current()));
  for (const std::string& id : this->members.LiveEverywhere())
    entries.push_back(id);
  for (const auto& [name, box] : this->follower.current()->boxes()) {
    if (box.state == table::BoxState::kDraining)
      facts[name].drained_epoch = this->DrainedEpoch(box, entries);
  }
  return facts;
}

// The epoch that all have acknowledged; 0 while one has not, or is not known.
table::Version Control::DrainedEpoch(
    const table::Box& box,
    const std::vector<std::string>& entries) const {
  table::Version lowest = std::numeric_limits<table::Version>::max();
  for (const std::string& entry : entries) {
    const std::map<std::string, table::Version>* acks = this->AcksOf(entry);
    if (!acks || !acks->contains(box.name))
      return 0;
    lowest = std::min(lowest, acks->at(box.name));
  }
  return lowest;
}

const std::map<std::string, table::Version>* Control::AcksOf(
    const std::string& entry) const {
  if (entry == this->settings.id)
    return &this->drained;
  const auto member = this->members.members().find(entry);
  return member == this->members.members().end() ? nullptr
                                                 : &member->second.drained;
}

bool Control::ready() const {
  return this->follower.has_table() && !this->stopping;
}

void Control::BeginStop() {
  if (this->stopping)
    return;
  base::Log(Event::kDaemonStopping, {});
  this->stopping = true;
  std::vector<std::string> addresses;
  for (const auto& [id, member] : this->members.members())
    addresses.push_back(member.address);
  this->SendHeartbeats(addresses);
  this->stop_timer.StartOnce(
      std::chrono::seconds(this->settings.unready_seconds));
}

}  // namespace quartzhoist::daemon
