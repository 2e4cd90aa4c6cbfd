#include "bench/dispatch_sim.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <unordered_map>
#include <vector>

#include <fmt/format.h>

#include "dispatch/dispatcher.h"

namespace quartzhoist::bench {

namespace {

using base::Micros;
using dispatch::RequestId;
using dispatch::TryOutcome;
using std::chrono::milliseconds;

constexpr Micros kMeanWork = milliseconds(20);
constexpr Micros kUrgentDeadline = milliseconds(500);
constexpr Micros kPatientDeadline = milliseconds(5000);
constexpr Micros kFailTime = milliseconds(1);
constexpr int kMaxTries = 3;

struct Asked {
  bool urgent = false;
  Micros arrived{};
  Micros deadline{};
  int tries = 0;
  bool ended = false;
};

// Where a try ends, and how.
struct TryEnd {
  Micros at{};
  std::uint64_t request = 0;
  std::size_t target = 0;
  TryOutcome outcome = TryOutcome::kAnswered;

  bool operator>(const TryEnd& other) const { return this->at > other.at; }
};

// What a routing policy does with a request, seen from the simulation.
class Router {
 public:
  struct Sent {
    std::uint64_t request;
    std::size_t target;
  };
  struct Outcome {
    std::vector<Sent> sent;
    std::vector<std::uint64_t> answered;
    std::vector<std::uint64_t> refused;
  };

  virtual ~Router() = default;
  virtual void Arrive(std::uint64_t request,
                      const Asked& asked,
                      Micros now,
                      Outcome& out) = 0;
  virtual void End(const TryEnd& end, Micros now, Outcome& out) = 0;
  virtual void Tick(Micros now, Outcome& out) = 0;
};

class DispatcherRouter : public Router {
 public:
  explicit DispatcherRouter(const TrafficShape& shape) : dispatcher(7) {
    auto routes = std::make_shared<dispatch::Routes>();
    routes->services = {{.name = "fast",
                         .pool = "p",
                         .urgency = table::Urgency::kUrgent,
                         .queue = 100'000},
                        {.name = "slow",
                         .pool = "p",
                         .urgency = table::Urgency::kPatient,
                         .queue = 100'000}};
    for (int i = 0; i < shape.targets; ++i)
      routes->targets.push_back({.name = fmt::format("{:04}", i),
                                 .address = "a",
                                 .pool = "p",
                                 .share = shape.slots});
    dispatch::Actions actions;
    this->dispatcher.Install(routes, Micros{}, actions);
  }

  void Arrive(std::uint64_t request,
              const Asked& asked,
              Micros now,
              Outcome& out) override {
    dispatch::Actions actions;
    const RequestId id =
        this->dispatcher.Arrive({.service = asked.urgent ? "fast" : "slow",
                                 .deadline = asked.deadline,
                                 .repeatable = true},
                                now, actions);
    this->outer[id] = request;
    this->inner[request] = id;
    this->Translate(actions, out);
  }

  void End(const TryEnd& end, Micros now, Outcome& out) override {
    dispatch::Actions actions;
    this->dispatcher.Settle(
        {.request = this->inner.at(end.request), .outcome = end.outcome}, now,
        actions);
    this->Translate(actions, out);
  }

  void Tick(Micros now, Outcome& out) override {
    dispatch::Actions actions;
    this->dispatcher.Tick(now, actions);
    this->Translate(actions, out);
  }

 private:
  void Translate(const dispatch::Actions& actions, Outcome& out) {
    for (const dispatch::Action& action : actions) {
      if (const auto* send = std::get_if<dispatch::SendTry>(&action))
        out.sent.push_back(
            {this->outer.at(send->request),
             static_cast<std::size_t>(
                 std::stoi(this->dispatcher.TargetAt(send->target).name))});
      if (const auto* pass = std::get_if<dispatch::PassAnswer>(&action))
        out.answered.push_back(this->outer.at(pass->request));
      if (const auto* refuse = std::get_if<dispatch::Refuse>(&action))
        out.refused.push_back(this->outer.at(refuse->request));
    }
  }

  dispatch::Dispatcher dispatcher;
  std::unordered_map<RequestId, std::uint64_t> outer;
  std::unordered_map<std::uint64_t, RequestId> inner;
};

// What operators would have without us: one queue, every failure tried again
// elsewhere, nothing refused before its deadline.
class PlainRouter : public Router {
 public:
  PlainRouter(const TrafficShape& shape, bool least_loaded)
      : by_load(least_loaded),
        slots(shape.slots),
        in_flight(static_cast<std::size_t>(shape.targets)) {}

  void Arrive(std::uint64_t request,
              const Asked& asked,
              Micros now,
              Outcome& out) override {
    this->queue.push_back({request, asked.deadline, 0});
    this->Pump(now, out);
  }

  void End(const TryEnd& end, Micros now, Outcome& out) override {
    --this->in_flight[end.target];
    Waiting waiting = this->sent.at(end.request);
    if (end.outcome == TryOutcome::kAnswered)
      out.answered.push_back(end.request);
    else if (++waiting.tries < kMaxTries)
      this->queue.push_front(waiting);
    else
      out.refused.push_back(end.request);
    this->Pump(now, out);
  }

  void Tick(Micros now, Outcome& out) override { this->Pump(now, out); }

 private:
  struct Waiting {
    std::uint64_t request;
    Micros deadline;
    int tries;
  };

  void Pump(Micros now, Outcome& out) {
    while (!this->queue.empty()) {
      if (this->queue.front().deadline <= now) {
        out.refused.push_back(this->queue.front().request);
        this->queue.pop_front();
        continue;
      }
      const std::size_t target = this->Choose();
      if (this->in_flight[target] >= this->slots)
        return;
      ++this->in_flight[target];
      const Waiting waiting = this->queue.front();
      this->queue.pop_front();
      this->sent[waiting.request] = waiting;
      out.sent.push_back({waiting.request, target});
    }
  }

  std::size_t Choose() {
    const std::size_t count = this->in_flight.size();
    if (this->by_load)
      return static_cast<std::size_t>(
          std::min_element(this->in_flight.begin(), this->in_flight.end()) -
          this->in_flight.begin());
    std::size_t target = this->next;
    for (std::size_t i = 0; i < count; ++i) {
      target = this->next;
      this->next = target + 1 < count ? target + 1 : 0;
      if (this->in_flight[target] < this->slots)
        break;
    }
    return target;
  }

  bool by_load;
  int slots;
  std::size_t next = 0;
  std::vector<int> in_flight;
  std::deque<Waiting> queue;
  std::unordered_map<std::uint64_t, Waiting> sent;
};

std::unique_ptr<Router> MakeRouter(const TrafficShape& shape, Routing routing) {
  if (routing == Routing::kDispatcher)
    return std::make_unique<DispatcherRouter>(shape);
  return std::make_unique<PlainRouter>(shape, routing == Routing::kLeastLoaded);
}

class Traffic {
 public:
  Traffic(const TrafficShape& of,
          Routing routing,
          std::uint64_t seed,
          Signature& sum)
      : shape(of),
        random(seed),
        signature(sum),
        router(MakeRouter(of, routing)) {}

  TrafficResult Run() {
    const Micros end(static_cast<std::int64_t>(this->shape.seconds * 1e6));
    Micros next_arrival = this->Gap();
    Micros next_tick = dispatch::Dispatcher::kTickPeriod;
    while (next_arrival < end || !this->tries.empty()) {
      Micros now = next_arrival < end ? next_arrival : Micros::max();
      if (!this->tries.empty())
        now = std::min(now, this->tries.top().at);
      now = std::min(now, next_tick);
      this->now = now;
      Router::Outcome out;
      if (now == next_tick) {
        this->router->Tick(now, out);
        next_tick += dispatch::Dispatcher::kTickPeriod;
      } else if (now == next_arrival && next_arrival < end) {
        this->Arrive(out);
        next_arrival = now + this->Gap();
      } else {
        const TryEnd ended = this->tries.top();
        this->tries.pop();
        this->router->End(ended, now, out);
      }
      this->Apply(out);
    }
    return this->Sum();
  }

 private:
  int Failing() const {
    return static_cast<int>(
        std::lround(this->shape.failing * this->shape.targets));
  }

  // Requests a microsecond that the working targets can run.
  double Capacity() const {
    return (this->shape.targets - this->Failing()) * this->shape.slots /
           static_cast<double>(kMeanWork.count());
  }

  Micros Gap() {
    std::exponential_distribution<double> draw(this->Capacity() *
                                               this->shape.load);
    return Micros(static_cast<std::int64_t>(draw(this->random)) + 1);
  }

  void Arrive(Router::Outcome& out) {
    std::bernoulli_distribution is_urgent(this->shape.urgent_share);
    const std::uint64_t request = this->asked.size();
    const bool urgent = is_urgent(this->random);
    this->asked.push_back(
        {.urgent = urgent,
         .arrived = this->now,
         .deadline =
             this->now + (urgent ? kUrgentDeadline : kPatientDeadline)});
    this->router->Arrive(request, this->asked.back(), this->now, out);
  }

  void Apply(const Router::Outcome& out) {
    for (const Router::Sent& sent : out.sent) {
      ++this->asked[sent.request].tries;
      const bool fails =
          sent.target < static_cast<std::size_t>(this->Failing());
      std::exponential_distribution<double> work(
          1.0 / static_cast<double>(kMeanWork.count()));
      const Micros takes =
          fails ? kFailTime
                : Micros(static_cast<std::int64_t>(work(this->random)) + 1);
      this->tries.push({.at = this->now + takes,
                        .request = sent.request,
                        .target = sent.target,
                        .outcome = fails ? TryOutcome::kFailedAnswer
                                         : TryOutcome::kAnswered});
      this->failed_last[sent.request] = fails;
      this->signature.Add(sent.request);
      this->signature.Add(sent.target);
    }
    for (const std::uint64_t request : out.answered)
      this->Ended(request, !this->failed_last[request]);
    for (const std::uint64_t request : out.refused)
      this->Ended(request, false);
  }

  void Ended(std::uint64_t request, bool well) {
    Asked& of = this->asked[request];
    of.ended = true;
    const Micros took = this->now - of.arrived;
    this->at_once += !well && took < milliseconds(1) ? 1 : 0;
    // What is answered after the last arrival would flatter long queues.
    const double seconds = base::Seconds(this->now);
    if (!well || this->now > of.deadline || seconds > this->shape.seconds)
      return;
    (of.urgent ? this->urgent_us : this->patient_us).push_back(took.count());
  }

  TrafficResult Sum() {
    double urgent = 0;
    double tries = 0;
    for (const Asked& of : this->asked) {
      urgent += of.urgent ? 1 : 0;
      tries += std::max(0, of.tries - 1);
    }
    const auto total = static_cast<double>(this->asked.size());
    std::sort(this->urgent_us.begin(), this->urgent_us.end());
    const double could =
        std::min(total, this->Capacity() * this->shape.seconds * 1e6);
    const auto answered =
        static_cast<double>(this->urgent_us.size() + this->patient_us.size());
    TrafficResult result{
        .goodput = answered / could,
        .urgent_answered = static_cast<double>(this->urgent_us.size()) / urgent,
        .patient_answered =
            static_cast<double>(this->patient_us.size()) / (total - urgent),
        .extra_tries = tries / total,
        .refused_at_once = this->at_once / total};
    if (!this->urgent_us.empty())
      result.urgent_p99_ms =
          static_cast<double>(
              this->urgent_us[this->urgent_us.size() * 99 / 100]) /
          1e3;
    return result;
  }

  const TrafficShape& shape;
  std::mt19937_64 random;
  Signature& signature;
  std::unique_ptr<Router> router;
  std::priority_queue<TryEnd, std::vector<TryEnd>, std::greater<>> tries;
  std::vector<Asked> asked;
  std::unordered_map<std::uint64_t, bool> failed_last;
  std::vector<std::int64_t> urgent_us;
  std::vector<std::int64_t> patient_us;
  double at_once = 0;
  Micros now{};
};

}  // namespace

TrafficResult SimulateTraffic(const TrafficShape& shape,
                              Routing routing,
                              std::uint64_t seed,
                              Signature& signature) {
  return Traffic(shape, routing, seed, signature).Run();
}

}  // namespace quartzhoist::bench
