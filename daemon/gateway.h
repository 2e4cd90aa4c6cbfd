// The traffic task: callers' requests in, targets' answers out, on a loop and
// thread of its own. It owns its sockets and the dispatcher; it hears from the
// control task only by messages.

#ifndef DAEMON_GATEWAY_H_
#define DAEMON_GATEWAY_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/counters.h"
#include "base/loop.h"
#include "base/mailbox.h"
#include "daemon/messages.h"
#include "daemon/problem.h"
#include "daemon/settings.h"
#include "dispatch/dispatcher.h"
#include "http/client.h"
#include "http/server.h"

namespace quartzhoist::daemon {

class Gateway {
 public:
  // Throws std::runtime_error if the callers' address cannot be listened on.
  Gateway(const Settings& settings,
          base::Counters& counters,
          std::function<void(ToControl)> tell_control);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Runs until StopTraffic has been carried out.
  void Run();
  // From any thread.
  void Post(ToTraffic message) { this->mailbox.Post(std::move(message)); }
  std::uint16_t port() const { return this->server.port(); }

 private:
  // A caller's request on its way.
  struct Call {
    CallId id = 0;
    http::ExchangePtr exchange;
    std::string service;
    base::Micros deadline{};
    bool repeatable = false;
    dispatch::RequestId request = 0;  // 0: not with the dispatcher yet
    http::RequestId upstream = 0;     // the try in flight; 0: none
    std::optional<ClaimKey> claim;
    std::string claim_row;  // once granted
    table::Version claim_version = 0;
    http::Response answer;  // of the last try
  };

  void Receive(ToTraffic message);
  void Take(const InstallRoutes& message);
  void Take(const ClaimDecided& message);
  void Take(const AskTrafficState& message);
  void Take(const StopTraffic& message);

  void Begin(const http::ExchangePtr& exchange);
  std::optional<Call> Read(const http::ExchangePtr& exchange);
  bool ReadRepeat(Call& call, const table::ServiceRow& service);
  void Dispatch(Call& call);
  void Abandon(CallId id);

  void Decide(Call& call, const ClaimGranted& answer);
  void Decide(Call& call, const ClaimTaken& answer);
  void Decide(Call& call, const ClaimUnavailable& answer);

  void Perform();
  void Act(const dispatch::SendTry& action);
  void Act(const dispatch::PassAnswer& action);
  void Act(const dispatch::Refuse& action);
  void Act(const dispatch::ReportDrained& action);
  void Act(const dispatch::ReportHealth& action);
  void TakeResult(CallId id, http::ClientResult result);

  void Reply(Call& call, http::Response response);
  void ReplyProblem(Call& call, const Problem& problem);
  void Tick();
  void StopIfIdle();

  base::Counters& counters;
  std::function<void(ToControl)> tell_control;
  base::Micros stop_within;
  base::Loop loop;
  base::Mailbox<ToTraffic> mailbox;
  dispatch::Dispatcher dispatcher;
  dispatch::Actions actions;
  std::unordered_map<std::string, table::ServiceRow> services;
  std::unordered_map<CallId, std::unique_ptr<Call>> calls;
  std::unordered_map<dispatch::RequestId, CallId> call_of;
  CallId last_call = 0;
  int idle_ticks = 0;
  bool performing = false;
  bool stopping = false;
  base::Micros stop_at{};
  base::Micros idle_since{};
  http::Client client;
  http::Server server;
  base::Timer tick;
};

}  // namespace quartzhoist::daemon

#endif  // DAEMON_GATEWAY_H_
