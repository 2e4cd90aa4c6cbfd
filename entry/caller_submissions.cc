// How a job that is handed in is written, and what its caller is told.

#include <algorithm>
#include <chrono>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "entry/caller_api.h"
#include "entry/caller_rights.h"
#include "entry/caller_status.h"
#include "jobs/progress.h"
#include "platform/base64.h"
#include "platform/batch_room.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// A write takes a condition and two rows for each job.
constexpr std::size_t kEntriesAJob = 3;
// The longest wait for the next try of a write whose fate is open.
constexpr base::Micros kWriteAgainMost = milliseconds(480);
// An answer is to leave this long before the caller gives up.
constexpr base::Micros kAnswerMargin = milliseconds(150);

std::int64_t NowMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void CallerApi::Submit(const http::ExchangePtr& exchange,
                       const jobs::Queue& queue,
                       const std::string& organisation,
                       const std::string& job) {
  const http::Request& request = exchange->request();
  if (request.body.size() > this->config->max_body_bytes) {
    this->Refuse(exchange, kTooLarge, job, "the body is too large");
    return;
  }
  Submission submission;
  try {
    const jobs::JobSpec spec = platform::ParseJob(request.body);
    if (IsAboveQuota(*this->config, organisation, spec)) {
      this->Refuse(exchange, kTooLarge, job,
                   "a gang needs more than its organisation may have running");
      return;
    }
    const jobs::Organisation* caller =
        this->config->FindOrganisation(organisation);
    const std::optional<int> home =
        caller ? HomeShard(*caller, spec, this->shards) : std::nullopt;
    const int chosen =
        home ? *home : this->choose_shard(*this->config, queue, spec);
    submission.shard = {.number = chosen, .count = this->shards};
  } catch (const platform::BadInput& problem) {
    this->Refuse(exchange, kBadRequest, job, problem.what());
    return;
  }
  const base::Micros now = base::MonotonicNow();
  submission.exchange = exchange;
  submission.job = job;
  submission.row = EncodeAccepted({.queue = queue,
                                   .accepted_ms = NowMillis(),
                                   .organisation = organisation,
                                   .body = request.body});
  submission.arrived = now;
  submission.deadline =
      now + platform::CallerPatience(request.headers) - kAnswerMargin;
  if (platform::Base64Length(submission.row.size()) >
      this->store.deployment().row_bytes) {
    this->Refuse(exchange, kTooLarge, job, "the job is too large for a row");
    return;
  }
  const std::string part = ProgressRow(job).part;
  this->parts[part].waiting.push_back(std::move(submission));
  this->WritePart(part);
}

// Jobs that come while a write is on its way share the next one.
void CallerApi::WritePart(const std::string& part) {
  PartQueue& queue = this->parts[part];
  if (queue.sent || queue.waiting.empty())
    return;
  std::vector<Submission> batch;
  std::set<std::string> taken;
  std::vector<Submission> later;
  platform::WriteBatch write;
  platform::BatchRoom room(false);
  const std::string queued = jobs::EncodeProgress({});
  while (!queue.waiting.empty()) {
    Submission& front = queue.waiting.front();
    const bool must_part = front.alone && !batch.empty();
    if (must_part || !room.Take(part, kEntriesAJob, front.row.size()))
      break;
    const bool alone = front.alone;
    Submission next = std::move(front);
    queue.waiting.pop_front();
    // The same job twice: the second finds the row of the first.
    if (!taken.insert(next.job).second) {
      later.push_back(std::move(next));
      continue;
    }
    // Its progress stands after the job is over, when its own row is gone.
    write.conditions.push_back({.at = ProgressRow(next.job), .version = 0});
    write.puts.push_back(
        {.at = JobRow(next.job, next.shard), .value = next.row});
    write.puts.push_back(
        {.at = ProgressRow(next.job),
         .value = EncodeKept({.shard = next.shard.number, .text = queued})});
    batch.push_back(std::move(next));
    if (alone)
      break;
  }
  for (Submission& submission : later)
    queue.waiting.push_front(std::move(submission));
  auto sent = std::make_shared<std::vector<Submission>>(std::move(batch));
  queue.sent = sent;
  this->store.Write(write,
                    [this, part, sent](const platform::WriteResult& result) {
                      this->parts[part].sent.reset();
                      this->TakeWritten(part, std::move(*sent), result);
                      this->WritePart(part);
                    });
}

void CallerApi::TakeWritten(const std::string& part,
                            std::vector<Submission> batch,
                            const platform::WriteResult& result) {
  std::set<std::string> there;
  for (const platform::Row& row : result.rows) {
    if (row.version > 0)
      there.insert(row.at.key);
  }
  for (Submission& submission : batch) {
    const bool written = result.outcome == platform::WriteOutcome::kDone;
    const bool known = result.outcome == platform::WriteOutcome::kConflict &&
                       there.contains(submission.job);
    if (written || known) {
      this->counters.Add(base::Counter::kAnswered);
      base::Log(base::Event::kJobAccepted,
                {{"job", submission.job}, {"again", known}});
      this->Reply(submission.exchange, http::JsonResponse(kOk, "{}"));
      continue;
    }
    if (result.outcome == platform::WriteOutcome::kUnknown)
      submission.uncertain = true;
    // Another job of the write may be what the store does not take.
    const bool for_good = result.outcome == platform::WriteOutcome::kRefused;
    if (for_good && batch.size() > 1) {
      submission.alone = true;
      this->parts[part].waiting.push_back(std::move(submission));
      continue;
    }
    const bool refused =
        for_good || result.outcome == platform::WriteOutcome::kNotDone;
    if (refused && !submission.uncertain) {
      this->Refuse(submission.exchange, kUnavailable, submission.job,
                   "the store does not take writes now");
      continue;
    }
    this->Again(part, std::move(submission));
  }
  const bool unknown = result.outcome == platform::WriteOutcome::kUnknown;
  this->write_again =
      unknown ? std::min(2 * this->write_again, kWriteAgainMost) : kWriteAgain;
}

// A caller whose job this daemon cannot write soon is told at once: its next
// try reaches another daemon, which may.
void CallerApi::Again(const std::string& part, Submission submission) {
  const bool too_late =
      base::MonotonicNow() + this->write_again > submission.deadline;
  if (too_late || this->store.SeemsAway()) {
    this->Refuse(submission.exchange, kUnknownFate, submission.job,
                 "it is not known whether the job was taken: ask again");
    return;
  }
  this->parts[part].again.push_back(std::move(submission));
  this->retry.StartOnce(this->write_again);
}

void CallerApi::WriteAgain() {
  for (auto& [part, queue] : this->parts) {
    for (Submission& submission : std::exchange(queue.again, {}))
      queue.waiting.push_back(std::move(submission));
    this->WritePart(part);
  }
}

}  // namespace quartzhoist::entry
