#include "testing/soak_callers.h"

#include <algorithm>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace quartzhoist::testing {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr base::Micros kTurn = seconds(4);
constexpr double kInTurn = 5;
constexpr double kBetweenTurns = 0.05;
// Mean rate in a pool. With tasks of 880 thousandths of a core, 0.8 s and 1.6
// steps of 6 it takes two fifths of four boxes of 16 cores.
constexpr double kJobsPerSecondAndBox = 0.95;
constexpr double kLastingJobsPerSecond = 0.04;
constexpr int kFirstLastingJobs = 2;
constexpr int kFirstTask = 2;
constexpr int kMaxTries = 4;
constexpr base::Micros kDeadline = seconds(3);
constexpr base::Micros kVisible = seconds(3);
constexpr base::Micros kLossSlack = milliseconds(200);
constexpr base::Micros kContact = seconds(3);

bool IsRefusal(int status) {
  return status == 404 || status == 413 || status == 429 || status == 503;
}

bool IsUnanswered(const http::ClientResult& result) {
  const int status = result.response.status;
  return result.verdict != base::Verdict::kRan || status == 502 ||
         status == 504;
}

}  // namespace

SoakCallers::SoakCallers(JobCluster& on,
                         const SoakForm& size,
                         std::uint64_t seed)
    : cluster(on),
      form(size),
      random(seed),
      began(base::MonotonicNow()),
      last_tick(this->began) {
  for (int i = 0; i < this->form.groups; ++i)
    this->clients.push_back(std::make_unique<http::Client>(on.on_loop()));
  for (int pool = 0; pool < this->form.pools; ++pool) {
    for (int i = 0; i < kFirstLastingJobs; ++i) {
      const SoakJob job = this->MakeJob(pool, true);
      this->by_id[job.id] = job;
      this->Submit(job.id, false);
    }
  }
}

void SoakCallers::Tick() {
  const base::Micros now = base::MonotonicNow();
  while (!this->later.empty() && this->later.begin()->first <= now) {
    const auto action = std::move(this->later.begin()->second);
    this->later.erase(this->later.begin());
    action();
  }
  if (this->is_stopped)
    return;
  this->SubmitByTurns(now);
  this->last_tick = now;
  for (auto& [id, job] : this->by_id) {
    if (job.cancel_at > base::Micros::zero() && now >= job.cancel_at &&
        !job.cancel_sent)
      this->Cancel(job, 0);
  }
}

void SoakCallers::SubmitByTurns(base::Micros now) {
  const double span = base::Seconds(now - this->last_tick);
  const auto turn =
      static_cast<int>((now - this->began) / kTurn % this->form.pools);
  for (int pool = 0; pool < this->form.pools; ++pool) {
    const double share = pool == turn ? kInTurn : kBetweenTurns;
    const double rate = kJobsPerSecondAndBox * this->form.boxes * share;
    for (const bool lasts : {false, true}) {
      if (this->Draw() >= span * (lasts ? kLastingJobsPerSecond : rate))
        continue;
      const SoakJob job = this->MakeJob(pool, lasts);
      this->by_id[job.id] = job;
      this->Submit(job.id, false);
    }
  }
}

SoakJob SoakCallers::MakeJob(int pool, bool lasts) {
  const base::Micros now = base::MonotonicNow();
  SoakJob job;
  job.id = JobId(static_cast<int>(this->by_id.size()) + 1);
  job.pool = fmt::format("pool-{}", pool);
  job.queue = fmt::format("{}-{}", lasts ? "last" : "short", pool);
  job.lasts = lasts;
  job.memory =
      lasts ? 1400 + static_cast<std::int64_t>(this->Draw() * 4'000) : 900;
  job.steps = lasts ? 1 : 1 + (this->Draw() < 0.5) + (this->Draw() < 0.1);
  job.tasks = lasts ? 5 : kFirstTask + static_cast<int>(this->Draw() * 9);
  job.cpu = lasts ? 1300 : 440 + static_cast<std::int64_t>(this->Draw() * 880);
  if (lasts)
    job.cancel_at =
        now + milliseconds(static_cast<int>(15'000 + this->Draw() * 30'000));
  else if (this->Draw() < 0.05)
    job.cancel_at = now + milliseconds(static_cast<int>(this->Draw() * 2'000));
  const int millis = 400 + static_cast<int>(this->Draw() * 800);
  json body = {{"spec", json{{"ms", millis},
                             {"cpu", job.cpu},
                             {"memMb", job.memory},
                             {"lasts", lasts},
                             {"fails", lasts ? 30 : 5}}
                            .dump()},
               {"steps", json::array()}};
  for (int step = 0; step < job.steps; ++step) {
    json one = {{"count", job.tasks},
                {"cpu", job.cpu},
                {"memMb", job.memory},
                {"estimateMs", millis}};
    if (step > 0)
      one["dependsOn"] = {step - 1};
    if (lasts) {
      one["longRunning"] = true;
      one["may_miss"] = 1;
      one["antiAffinity"] = 2;
    }
    body["steps"].push_back(one);
  }
  job.body = body.dump();
  return job;
}

std::string SoakCallers::AnyDaemon() {
  const auto count = this->cluster.daemons().size();
  return std::next(this->cluster.daemons().begin(),
                   static_cast<std::ptrdiff_t>(this->random() % count))
      ->first;
}

void SoakCallers::Send(const std::string& daemon,
                       const std::string& method,
                       const std::string& path,
                       const std::string& body,
                       std::function<void(const http::ClientResult&)> done) {
  http::ClientRequest request;
  request.method = method;
  request.url = fmt::format("http://{}/{}",
                            this->cluster.daemons().at(daemon).callers, path);
  request.headers = {{.name = "Host", .value = "jobs.example"},
                     {.name = "Deadline-Ms",
                      .value = fmt::format("{}", base::Millis(kDeadline))}};
  request.body = body;
  request.timeout = kDeadline;
  http::Client& client = *this->clients[this->random() % this->clients.size()];
  client.Send(std::move(request), std::move(done));
}

void SoakCallers::Submit(const std::string& id, bool again) {
  SoakJob& job = this->by_id.at(id);
  ++job.tries;
  ++this->submission_count;
  job.is_open = true;
  const std::string daemon = this->AnyDaemon();
  const base::Micros sent = base::MonotonicNow();
  this->Send(daemon, "POST", job.queue + "/" + id, job.body,
             [this, id, daemon, sent, again](const http::ClientResult& result) {
               this->by_id.at(id).is_open = false;
               // Answers after an acceptance change nothing.
               if (!again)
                 this->OnSubmitted(id, daemon, sent, result);
             });
}

void SoakCallers::OnSubmitted(const std::string& id,
                              const std::string& daemon,
                              base::Micros sent,
                              const http::ClientResult& result) {
  SoakJob& job = this->by_id.at(id);
  const base::Micros now = base::MonotonicNow();
  job.may_be_in = job.may_be_in || result.verdict == base::Verdict::kMayHaveRun;
  job.not_sent += result.verdict == base::Verdict::kNotRun;
  const int status = result.response.status;
  if (status == 200) {
    job.accepted = now;
    if (this->Draw() < 0.03)
      this->later.emplace(now + seconds(2),
                          [this, id] { this->Submit(id, true); });
    if (this->Draw() < 0.4)
      this->later.emplace(
          now + kVisible + milliseconds(static_cast<int>(this->Draw() * 9'000)),
          [this, id] { this->Ask(this->by_id.at(id)); });
    return;
  }
  if (IsUnanswered(result)) {
    job.may_be_in = job.may_be_in || result.verdict == base::Verdict::kRan;
    this->JudgeUnanswered("submission of " + id, daemon, sent, result);
    if (job.tries < kMaxTries)
      this->later.emplace(now + milliseconds(50),
                          [this, id] { this->Submit(id, false); });
    return;
  }
  if (!IsRefusal(status))
    return;
  ++job.refusals;
  const std::string* wait =
      http::FindHeader(result.response.headers, "Retry-After");
  if (wait && this->Draw() < 0.2 && job.tries < kMaxTries)
    this->later.emplace(now + seconds(std::stoi(*wait)),
                        [this, id] { this->Submit(id, false); });
}

void SoakCallers::Ask(const SoakJob& job) {
  const std::string daemon = this->AnyDaemon();
  const base::Micros sent = base::MonotonicNow();
  this->Send(
      daemon, "GET", job.queue + "/" + job.id, "",
      [this, id = job.id, daemon, sent](const http::ClientResult& result) {
        if (result.verdict != base::Verdict::kRan)
          this->JudgeUnanswered("question for " + id, daemon, sent, result);
        const bool is_calm = this->calm_since + kContact < sent;
        if (result.response.status == 410 && is_calm &&
            !this->by_id.at(id).cancel_sent)
          this->faults.push_back(fmt::format(
              "LOST {} is unknown to {} {:.1f} s after its acceptance", id,
              daemon, base::Seconds(sent - this->by_id.at(id).accepted)));
      });
}

void SoakCallers::Cancel(SoakJob& job, int tries) {
  job.cancel_sent = true;
  const std::string daemon = this->AnyDaemon();
  const base::Micros sent = base::MonotonicNow();
  this->Send(
      daemon, "DELETE", job.queue + "/" + job.id, "",
      [this, id = job.id, daemon, sent,
       tries](const http::ClientResult& result) {
        if (result.verdict != base::Verdict::kRan)
          this->JudgeUnanswered("cancel of " + id, daemon, sent, result);
        const bool is_over =
            result.response.status == 200 || result.response.status == 410;
        if (!is_over && tries < 2 * kMaxTries)
          this->later.emplace(base::MonotonicNow() + milliseconds(300),
                              [this, id, tries] {
                                this->Cancel(this->by_id.at(id), tries + 1);
                              });
      });
}

void SoakCallers::CancelLasting() {
  for (auto& [id, job] : this->by_id) {
    if (job.lasts && !job.cancel_sent)
      this->Cancel(job, 0);
  }
}

void SoakCallers::AskForMissingQueue(const std::string& queue) {
  for (const auto& [daemon, process] : this->cluster.daemons())
    this->Send(daemon, "GET", queue + "/", "",
               [](const http::ClientResult&) {});
}

void SoakCallers::NoteKilled(const std::string& daemon) {
  this->killed[daemon] = base::MonotonicNow();
}

void SoakCallers::JudgeUnanswered(const std::string& what,
                                  const std::string& daemon,
                                  base::Micros sent,
                                  const http::ClientResult& result) {
  const base::Micros now = base::MonotonicNow();
  const auto last_kill = this->killed.find(daemon);
  const bool was_killed =
      last_kill != this->killed.end() && last_kill->second + kContact > sent;
  const bool has_broken_off = result.verdict == base::Verdict::kMayHaveRun &&
                              now - sent > kLossSlack &&
                              now - sent < kDeadline - kLossSlack;
  if (has_broken_off && !was_killed && this->calm_since + kContact < sent)
    this->faults.push_back(
        fmt::format("LOST {} at {} ends without an answer after {:.2f} s: {}",
                    what, daemon, base::Seconds(now - sent), result.error));
}

}  // namespace quartzhoist::testing
