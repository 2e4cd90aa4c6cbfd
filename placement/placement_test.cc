// Placement over the platform's stand-in: drivers on stale rows, lost replies,
// workers that are frozen past their lease and go on, boxes that leave.

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <rapidcheck/boost_test.h>
#include <boost/test/unit_test.hpp>

#include "placement/job_steps.h"
#include "placement/placer.h"
#include "testing/memory_table.h"

namespace quartzhoist::placement {
namespace {

using base::Micros;
using table::Urgency;

Job MakeJob(const std::string& id, Urgency urgency, Size size) {
  return {.id = id,
          .kind = "k",
          .team = "t",
          .pool = "p",
          .urgency = urgency,
          .declared = size,
          .can_checkpoint = urgency == Urgency::kPatient};
}

class World {
 public:
  explicit World(int box_count) {
    for (int i = 0; i < box_count; ++i) {
      const std::string name = "b" + std::to_string(i);
      this->boxes[name] = {.name = name,
                           .rack = "r" + std::to_string(i / 2),
                           .pool = "p",
                           .cores = 8,
                           .memory_mb = 8000};
    }
    this->teams["t"] = {.name = "t", .cores = 1000, .accelerators = 8};
  }

  void Submit(const Job& job) {
    this->store.Commit(JobStep(job, 0, "submit"));
    this->ids.push_back(job.id);
  }

  Job Read(const std::string& id) const {
    return DecodeJob(this->store.Read(JobKey(id)));
  }

  std::vector<Job> ReadAll() const {
    std::vector<Job> jobs;
    for (const std::string& id : this->ids)
      jobs.push_back(this->Read(id));
    return jobs;
  }

  // What one driver has read: it may be out of date when it plans.
  struct View {
    std::vector<Job> jobs;
    std::map<std::string, table::Version> hosts;
  };

  View Look() const {
    View view{.jobs = this->ReadAll(), .hosts = {}};
    for (const auto& [name, box] : this->boxes)
      view.hosts[name] = this->store.Read(HostKey(name)).version;
    return view;
  }

  std::vector<Action> Plan(const View& view) {
    Input input{.teams = this->teams, .sizes = &this->sizes, .now = this->now};
    for (const Job& job : view.jobs)
      input.jobs.push_back(&job);
    for (const auto& [name, box] : this->boxes)
      input.boxes.push_back({.box = &box});
    return Place(input);
  }

  // Writes the actions; only those that win take effect at workers.
  void Carry(const std::vector<Action>& actions, const View& view) {
    for (const Action& action : actions)
      std::visit([&](const auto& typed) { this->Carry(typed, view); }, action);
  }

  // A worker reports a job done, as of the epoch that it was started with.
  bool Finish(const std::string& id, table::Version epoch) {
    Job job = this->Read(id);
    job.state = JobState::kDone;
    job.box.clear();
    return this->Write(job, epoch);
  }

  bool Write(const Job& after, table::Version epoch) {
    const auto result = this->store.Commit(
        JobStep(after, epoch, "w" + std::to_string(++this->writers)));
    return std::holds_alternative<platform::Committed>(result);
  }

  testing::MemoryTable store;
  SizeModel sizes;
  std::map<std::string, table::Box> boxes;
  std::unordered_map<std::string, table::TeamRow> teams;
  std::vector<std::string> ids;
  // Every start that won: what workers believe they run.
  std::vector<std::pair<std::string, table::Version>> leases;
  Micros now = std::chrono::hours(1);
  int writers = 0;

 private:
  static const Job& Find(const View& view, const std::string& id) {
    return *std::find_if(view.jobs.begin(), view.jobs.end(),
                         [&id](const Job& job) { return job.id == id; });
  }

  void Carry(const Start& start, const View& view) {
    Job job = Find(view, start.job);
    const table::Version seen = job.epoch;
    job.state = JobState::kRunning;
    job.box = start.box;
    const auto result =
        this->store.Commit(StartStep(job, seen, view.hosts.at(start.box),
                                     "w" + std::to_string(++this->writers)));
    if (const auto* committed = std::get_if<platform::Committed>(&result))
      this->leases.emplace_back(job.id, committed->version);
  }
  void Carry(const Checkpoint& stop, const View& view) {
    Job job = Find(view, stop.job);
    const table::Version seen = job.epoch;
    job.state = JobState::kWaiting;
    job.box.clear();
    this->Write(job, seen);
  }
  void Carry(const Reclaim& stop, const View& view) {
    this->Carry(Checkpoint{.job = stop.job}, view);
  }
  void Carry(const Refuse& refuse, const View& view) {
    Job job = Find(view, refuse.job);
    const table::Version seen = job.epoch;
    job.state = JobState::kImpossible;
    this->Write(job, seen);
  }
  void Carry(const Throttle&, const View&) {}
};

// Drivers race on old rows, workers finish late or twice, boxes leave: every
// job's outcome is recorded exactly once, nothing starts on a leaving box, and
// no box is given more than it has.
RC_BOOST_PROP(EveryJobEndsExactlyOnce, ()) {
  const int box_count = *rc::gen::inRange(1, 5);
  World world(box_count);
  const int job_count = *rc::gen::inRange(1, 15);
  for (int i = 0; i < job_count; ++i)
    world.Submit(MakeJob("j" + std::to_string(i),
                         *rc::gen::element(Urgency::kUrgent, Urgency::kPatient),
                         {.cores = *rc::gen::inRange(1, 9),
                          .memory_mb = *rc::gen::inRange(1, 8000)}));
  std::map<std::string, int> done;
  std::vector<World::View> seen(2, world.Look());
  const auto step = [&](bool settle) {
    const auto who = static_cast<std::size_t>(*rc::gen::inRange(0, 2));
    if (settle || *rc::gen::arbitrary<bool>())
      seen[who] = world.Look();
    const std::vector<Action> actions = world.Plan(seen[who]);
    for (const Action& action : actions) {
      if (const auto* start = std::get_if<Start>(&action))
        RC_ASSERT(world.boxes.at(start->box).state ==
                  table::BoxState::kServing);
    }
    world.Carry(actions, seen[who]);
    std::map<std::string, Size> used;
    for (const Job& job : world.ReadAll()) {
      if (job.state == JobState::kRunning)
        used[job.box] = used[job.box] + job.declared;
    }
    for (const auto& [box, size] : used)
      RC_ASSERT(Fits(size, {.cores = 8, .memory_mb = 8000}));
    // A worker, perhaps one whose lease lapsed long ago, reports an end.
    if (!world.leases.empty()) {
      const auto lease = settle
                             ? world.leases.size() - 1
                             : static_cast<std::size_t>(*rc::gen::inRange(
                                   0, static_cast<int>(world.leases.size())));
      const auto [id, epoch] = world.leases[lease];
      if (settle)
        world.leases.pop_back();
      done[id] += world.Finish(id, epoch);
    }
  };
  for (int i = 0; i < 40; ++i) {
    step(false);
    table::Box& box =
        world.boxes["b" + std::to_string(*rc::gen::inRange(0, box_count))];
    box.state = *rc::gen::element(table::BoxState::kServing,
                                  table::BoxState::kDraining);
  }
  for (auto& [name, box] : world.boxes)
    box.state = table::BoxState::kServing;
  for (int i = 0; i < 200; ++i)
    step(true);
  for (const Job& job : world.ReadAll()) {
    RC_ASSERT(job.state == JobState::kDone ||
              job.state == JobState::kImpossible);
    RC_ASSERT(done[job.id] == (job.state == JobState::kDone ? 1 : 0));
  }
}

// On rows that are up to date no box is given more than it has and no team
// more than its quota.
RC_BOOST_PROP(BoxesAndQuotasAreNotOverrun, ()) {
  World world(*rc::gen::inRange(1, 5));
  world.teams["t"].cores = *rc::gen::inRange(1, 30);
  const int job_count = *rc::gen::inRange(1, 20);
  for (int i = 0; i < job_count; ++i)
    world.Submit(MakeJob("j" + std::to_string(i),
                         *rc::gen::element(Urgency::kUrgent, Urgency::kPatient),
                         {.cores = *rc::gen::inRange(1, 12),
                          .memory_mb = *rc::gen::inRange(1, 9000)}));
  for (int i = 0; i < 10; ++i) {
    const World::View view = world.Look();
    world.Carry(world.Plan(view), view);
    std::map<std::string, Size> used;
    std::int64_t team = 0;
    for (const Job& job : world.ReadAll()) {
      if (job.state != JobState::kRunning)
        continue;
      used[job.box] = used[job.box] + job.declared;
      team += job.declared.cores;
    }
    RC_ASSERT(team <= world.teams["t"].cores);
    for (const auto& [box, size] : used)
      RC_ASSERT(Fits(size, {.cores = 8, .memory_mb = 8000}));
  }
}

BOOST_AUTO_TEST_CASE(WhatCanNeverRunIsToldAtOnce) {
  World world(2);
  world.Submit(MakeJob("huge", Urgency::kPatient, {.cores = 9}));
  Job stray = MakeJob("stray", Urgency::kPatient, {.cores = 1});
  stray.team = "nobody";
  world.Submit(stray);
  world.Submit(
      MakeJob("gpu", Urgency::kUrgent, {.cores = 1, .accelerators = 9}));
  const World::View view = world.Look();
  world.Carry(world.Plan(view), view);
  for (const Job& job : world.ReadAll())
    BOOST_CHECK(job.state == JobState::kImpossible);
}

BOOST_AUTO_TEST_CASE(UrgentWorkTakesThePlaceOfPatientWork) {
  World world(1);
  world.Submit(MakeJob("slow", Urgency::kPatient, {.cores = 8}));
  World::View view = world.Look();
  world.Carry(world.Plan(view), view);
  world.Submit(MakeJob("fast", Urgency::kUrgent, {.cores = 4}));
  for (int i = 0; i < 2; ++i) {
    view = world.Look();
    world.Carry(world.Plan(view), view);
  }
  BOOST_CHECK(world.Read("fast").state == JobState::kRunning);
  BOOST_CHECK(world.Read("slow").state == JobState::kWaiting);
}

BOOST_AUTO_TEST_CASE(DeclaredSizesAreUnlearned) {
  SizeModel sizes;
  const Job job =
      MakeJob("j", Urgency::kPatient, {.cores = 16, .memory_mb = 1000});
  BOOST_TEST(sizes.Expect(job).cores == 16);
  for (int i = 0; i < 60; ++i)
    sizes.Learn("k", {.cores = 2, .memory_mb = 4000});
  BOOST_TEST(sizes.Expect(job).cores <= 3);
  BOOST_TEST(sizes.Expect(job).memory_mb >= 3700);
}

RC_BOOST_PROP(AnyJobRowIsReadOrRefused, ()) {
  std::string value = EncodeJob(MakeJob("j", Urgency::kUrgent, {.cores = 1}));
  const auto at = static_cast<std::size_t>(
      *rc::gen::inRange(0, static_cast<int>(value.size())));
  value[at] = *rc::gen::arbitrary<char>();
  try {
    DecodeJob({.key = "job/j", .version = 1, .value = value});
  } catch (const std::runtime_error&) {
  }
}

}  // namespace
}  // namespace quartzhoist::placement
