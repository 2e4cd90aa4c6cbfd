#include "placement/placer.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <utility>

namespace quartzhoist::placement {

namespace {

using table::BoxState;
using table::Urgency;

// Patient work that has waited so long goes with the urgent, behind them.
constexpr base::Micros kPatience = std::chrono::hours(4);

Size CapacityOf(const table::Box& box) {
  return {.cores = box.cores,
          .memory_mb = box.memory_mb,
          .accelerators = box.accelerators};
}

// A box with the jobs it runs.
struct Host {
  const table::Box* box;
  bool open;  // may take new jobs
  bool live;
  Size room;
  Size used;
  std::vector<const Job*> jobs;
};

class Placement {
 public:
  explicit Placement(const Input& given) : input(given) {}

  std::vector<Action> Run() {
    this->SeatRunning();
    this->ClearLeavingBoxes();
    this->ThrottleOverrunBoxes();
    this->SortWaiting();
    for (const Job* job : this->waiting)
      this->PlaceOne(*job);
    return std::move(this->actions);
  }

 private:
  // 1. Boxes and what runs on them, by expected sizes.
  void SeatRunning() {
    for (const BoxView& view : this->input.boxes) {
      const bool open = view.box->state == BoxState::kServing && view.live;
      this->by_box[view.box->name] = this->hosts.size();
      this->hosts.push_back({.box = view.box,
                             .open = open,
                             .live = view.live,
                             .room = CapacityOf(*view.box),
                             .used = view.used,
                             .jobs = {}});
    }
    for (const Job* job : this->input.jobs) {
      if (job->state == JobState::kWaiting)
        this->waiting.push_back(job);
      if (job->state != JobState::kRunning)
        continue;
      const Size size = this->input.sizes->Expect(*job);
      this->team_used[job->team] = this->team_used[job->team] + size;
      const auto found = this->by_box.find(job->box);
      if (found == this->by_box.end()) {
        this->actions.emplace_back(Reclaim{.job = job->id});
        continue;
      }
      Host& host = this->hosts[found->second];
      host.room = host.room - size;
      host.jobs.push_back(job);
    }
  }

  // 2. Jobs on boxes that leave go on elsewhere if they can be checkpointed;
  //    the others finish, and the drain waits for them.
  void ClearLeavingBoxes() {
    for (const Host& host : this->hosts) {
      for (const Job* job : host.jobs) {
        if (!host.live && host.box->state == BoxState::kAway)
          this->actions.emplace_back(Reclaim{.job = job->id});
        else if (host.live && !host.open && job->can_checkpoint)
          this->actions.emplace_back(Checkpoint{.job = job->id});
      }
    }
  }

  // 3. Sizes were wrong: where more is used than there is, patient jobs slow
  //    down, the last in order first.
  void ThrottleOverrunBoxes() {
    for (const Host& host : this->hosts) {
      std::int64_t over = host.used.cores - host.box->cores;
      if (over <= 0)
        continue;
      std::vector<const Job*> patient;
      for (const Job* job : host.jobs) {
        if (job->urgency == Urgency::kPatient)
          patient.push_back(job);
      }
      std::stable_sort(
          patient.begin(), patient.end(),
          [](const Job* a, const Job* b) { return a->order > b->order; });
      for (const Job* job : patient) {
        if (over <= 0)
          break;
        over -= this->input.sizes->Expect(*job).cores;
        this->actions.emplace_back(Throttle{.job = job->id});
      }
    }
  }

  // 4. Urgent first, then what has waited too long, then by order and arrival.
  void SortWaiting() {
    const auto rank = [this](const Job& job) {
      int turn = 2;
      if (job.urgency == Urgency::kUrgent)
        turn = 0;
      else if (this->input.now - job.arrived > kPatience)
        turn = 1;
      return std::tuple(turn, job.order, job.arrived, job.id);
    };
    std::sort(
        this->waiting.begin(), this->waiting.end(),
        [&rank](const Job* a, const Job* b) { return rank(*a) < rank(*b); });
  }

  // 5. One job: refuse it for good, start it, make room for it, or let it
  //    wait.
  void PlaceOne(const Job& job) {
    const Size size = this->input.sizes->Expect(job);
    if (const auto why = this->WhyNever(job, size)) {
      this->actions.emplace_back(Refuse{.job = job.id, .why = *why});
      return;
    }
    if (!this->QuotaAllows(job, size))
      return;
    if (Host* host = this->BestHost(job, size)) {
      host->room = host->room - size;
      host->jobs.push_back(&job);
      this->team_used[job.team] = this->team_used[job.team] + size;
      this->actions.emplace_back(Start{.job = job.id, .box = host->box->name});
      return;
    }
    if (job.urgency == Urgency::kUrgent)
      this->MakeRoom(job, size);
  }

  std::optional<Impossibility> WhyNever(const Job& job,
                                        const Size& size) const {
    const auto team = this->input.teams.find(job.team);
    if (team == this->input.teams.end())
      return Impossibility::kNoSuchTeam;
    if (size.cores > team->second.cores ||
        size.accelerators > team->second.accelerators)
      return Impossibility::kQuotaTooSmall;
    // A box that is away or down comes back: it counts.
    const bool some_box = std::any_of(
        this->hosts.begin(), this->hosts.end(), [&](const Host& host) {
          return host.box->pool == job.pool &&
                 Fits(size, CapacityOf(*host.box));
        });
    if (!some_box)
      return Impossibility::kNoBoxIsLargeEnough;
    return std::nullopt;
  }

  bool QuotaAllows(const Job& job, const Size& size) const {
    const table::TeamRow& quota = this->input.teams.at(job.team);
    const auto found = this->team_used.find(job.team);
    const Size used = found == this->team_used.end() ? Size{} : found->second;
    return used.cores + size.cores <= quota.cores &&
           used.accelerators + size.accelerators <= quota.accelerators;
  }

  bool MayHost(const Host& host, const Job& job) const {
    return host.open && host.box->pool == job.pool;
  }

  // Accelerators are kept for those who need them; then the rack with the
  // fewest jobs of the kind; then the tightest fit.
  Host* BestHost(const Job& job, const Size& size) {
    Host* best = nullptr;
    std::tuple<bool, std::int64_t, std::int64_t> best_rank;
    const std::map<std::string, std::int64_t> racks = this->RacksOf(job);
    for (Host& host : this->hosts) {
      if (!this->MayHost(host, job) || !Fits(size, host.room))
        continue;
      const auto rack = racks.find(host.box->rack);
      const std::tuple rank(
          size.accelerators == 0 && host.box->accelerators > 0,
          rack == racks.end() ? 0 : rack->second, host.room.cores - size.cores);
      if (!best || rank < best_rank) {
        best = &host;
        best_rank = rank;
      }
    }
    return best;
  }

  std::map<std::string, std::int64_t> RacksOf(const Job& job) const {
    std::map<std::string, std::int64_t> racks;
    for (const Host& host : this->hosts) {
      for (const Job* other : host.jobs)
        racks[host.box->rack] += other->kind == job.kind ? 1 : 0;
    }
    return racks;
  }

  // Checkpoints patient jobs on the box that needs the fewest of them. The
  // urgent job starts once they have stopped; until then the room is its own.
  void MakeRoom(const Job& job, const Size& size) {
    Host* best = nullptr;
    std::vector<const Job*> best_victims;
    for (Host& host : this->hosts) {
      if (!this->MayHost(host, job))
        continue;
      const auto victims = this->VictimsOn(host, size);
      if (!victims || (best && victims->size() >= best_victims.size()))
        continue;
      best = &host;
      best_victims = *victims;
    }
    if (!best)
      return;
    for (const Job* victim : best_victims) {
      best->room = best->room + this->input.sizes->Expect(*victim);
      std::erase(best->jobs, victim);
      this->actions.emplace_back(Checkpoint{.job = victim->id});
    }
    best->room = best->room - size;
  }

  std::optional<std::vector<const Job*>> VictimsOn(const Host& host,
                                                   const Size& size) const {
    std::vector<const Job*> victims;
    Size room = host.room;
    for (const Job* job : host.jobs) {
      if (Fits(size, room))
        break;
      const bool may_stop = job->state == JobState::kRunning &&
                            job->urgency == Urgency::kPatient &&
                            job->can_checkpoint;
      if (!may_stop)
        continue;
      victims.push_back(job);
      room = room + this->input.sizes->Expect(*job);
    }
    if (!Fits(size, room))
      return std::nullopt;
    return victims;
  }

  const Input& input;
  std::vector<Host> hosts;
  std::unordered_map<std::string, std::size_t> by_box;
  std::vector<const Job*> waiting;
  std::unordered_map<std::string, Size> team_used;
  std::vector<Action> actions;
};

}  // namespace

std::vector<Action> Place(const Input& input) {
  return Placement(input).Run();
}

}  // namespace quartzhoist::placement
