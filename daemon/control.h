// The control task: follows the table, knows the members, drives the waves,
// answers operators. Its own loop, so that planning never delays a request.

#ifndef DAEMON_CONTROL_H_
#define DAEMON_CONTROL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "base/mailbox.h"
#include "daemon/box_watch.h"
#include "daemon/claims.h"
#include "daemon/editor.h"
#include "daemon/follower.h"
#include "daemon/messages.h"
#include "daemon/settings.h"
#include "daemon/wave_driver.h"
#include "http/server.h"
#include "membership/membership.h"
#include "peer/socket.h"

namespace quartzhoist::daemon {

class Operators;

class Control {
 public:
  // Throws std::runtime_error if an address cannot be listened on.
  Control(const Settings& settings,
          base::Counters& counters,
          std::function<void(ToTraffic)> tell_traffic);
  ~Control();
  Control(const Control&) = delete;
  Control& operator=(const Control&) = delete;

  // Runs until a stop signal has been carried out.
  void Run();
  // From any thread.
  void Post(ToControl message) { this->mailbox.Post(std::move(message)); }

  std::uint16_t operators_port() const { return this->server.port(); }
  const std::string& peers_address() const { return this->socket.address(); }

 private:
  friend class Operators;

  void Receive(ToControl message);
  void Take(const WantClaim& message);
  void Take(const KeepOutcome& message);
  void Take(const ReleaseClaim& message);
  void Take(const Drained& message);
  void Take(const TrafficState& message);
  void Take(const TrafficStopped& message);

  void ReceiveDatagram(const std::string& from, const std::string& datagram);
  void Handle(const peer::Message& message,
              const std::string& from,
              const peer::Heartbeat& body);
  void Handle(const peer::Message& message,
              const std::string& from,
              const peer::DeltaPart& body);
  void Handle(const peer::Message& message,
              const std::string& from,
              const peer::Pull& body);
  void SendTo(const std::string& address, const peer::Body& body);

  void TickMembers();
  void SendHeartbeats(const std::vector<std::string>& addresses);
  void TickFollower();
  bool ReadsForZone() const;
  void TickWaves();
  waves::Facts FactsNow() const;
  table::Version DrainedEpoch(const table::Box& box,
                              const std::vector<std::string>& entries) const;
  const std::map<std::string, table::Version>* AcksOf(
      const std::string& entry) const;
  void OnInstalled(const table::Delta& delta, bool fresh);
  void Push(const table::Delta& delta);
  void InstallRoutes();
  void NoteInForce();
  void BeginStop();

  // What readiness tells the balancer: a table is in force, traffic runs.
  bool ready() const;

  const Settings settings;
  base::Counters& counters;
  std::function<void(ToTraffic)> tell_traffic;
  base::Loop loop;
  base::Mailbox<ToControl> mailbox;
  membership::Membership members;
  std::string writer_prefix;
  platform::Client platform;
  Follower follower;
  Claims claims;
  BoxWatch box_watch;
  WaveDriver wave_driver;
  Editor editor;
  peer::Socket socket;
  // What the last wave plan was made from.
  struct WaveInputs {
    table::Version revision = 0;
    std::uint64_t box_list = 0;
    std::size_t live = 0;

    bool operator==(const WaveInputs&) const = default;
  };

  WaveInputs planned_with;
  int wave_ticks = 0;
  std::map<std::string, table::Version> drained;  // acknowledged here
  int follower_ticks = 0;
  bool stopping = false;
  // The latest commit whose spread is being timed, and when it was installed.
  table::Version spreading = 0;
  base::Micros spreading_since{};
  base::Micros last_spread{};
  std::uint64_t last_ticket = 0;
  std::map<std::uint64_t, std::function<void(const TrafficState&)>> asked;
  std::unique_ptr<Operators> operators;
  http::Server server;
  base::Timer members_timer;
  base::Timer follower_timer;
  base::Timer waves_timer;
  base::Timer stop_timer;
  base::SignalWatcher on_term;
  base::SignalWatcher on_interrupt;
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_CONTROL_H_
