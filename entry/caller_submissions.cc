// Submissions: validates a job, writes it to the store in batches and answers
// its caller.

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <utility>

#include "base/event_log.h"
#include "entry/caller_api.h"
#include "entry/caller_rights.h"
#include "entry/caller_status.h"
#include "jobs/progress.h"
#include "jobs/progress_size.h"
#include "platform/base64.h"
#include "platform/batch_room.h"
#include "platform/records.h"

namespace quartzhoist::entry {

namespace {

using std::chrono::milliseconds;

// A write contains two conditions and two rows for each job.
constexpr std::size_t kEntriesPerJob = 4;
// Maximum delay before a write of unknown outcome is retried.
constexpr base::Micros kMaxWriteRetryDelay = milliseconds(480);
// A submission waits this long at most for the read before its rejection, and
// is admitted then. A slow store answers in some 300 ms.
constexpr base::Micros kMaxReadTime = milliseconds(500);
// Retries end this long before the caller's deadline, so that the response
// still reaches it.
constexpr base::Micros kReplyMargin = milliseconds(150);

std::int64_t NowMillis() {
  return std::chrono::duration_cast<milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

void CallerApi::Submit(const JobRequest& job_request,
                       const jobs::Queue& queue) {
  const http::ExchangePtr& exchange = job_request.exchange;
  const std::string& job = job_request.job;
  const std::string& organisation = job_request.organisation;
  const http::Request& request = exchange->request();
  if (request.body.size() > this->config->max_request_bytes) {
    this->Refuse(exchange, kPayloadTooLarge, job, "the body is too large");
    return;
  }
  Submission submission;
  jobs::JobSpec spec;
  std::optional<int> home_shard;
  try {
    spec = platform::ParseJob(request.body);
    if (GangExceedsQuota(*this->config, organisation, spec)) {
      this->Refuse(exchange, kPayloadTooLarge, job,
                   "a gang needs more than its organisation may have running");
      return;
    }
    const jobs::Organisation* caller =
        this->config->FindOrganisation(organisation);
    home_shard =
        caller ? HomeShardFor(*caller, spec, this->shards) : std::nullopt;
  } catch (const platform::BadInput& problem) {
    this->Refuse(exchange, kBadRequest, job, problem.what());
    return;
  }
  const base::Micros now = base::MonotonicNow();
  submission.exchange = exchange;
  submission.job = job;
  submission.origin = {.organisation = organisation, .queue = queue.name};
  submission.config_source = job_request.config_source;
  submission.row = EncodeAccepted({.queue = queue,
                                   .accepted_ms = NowMillis(),
                                   .organisation = organisation,
                                   .body = request.body});
  submission.arrived = now;
  submission.deadline =
      now + platform::CallerPatience(request.headers) - kReplyMargin;
  if (platform::Base64Length(submission.row.size()) >
      this->store.deployment().row_bytes) {
    this->Refuse(exchange, kPayloadTooLarge, job,
                 "the job is too large for a row");
    return;
  }
  if (jobs::NeededBytes(spec) >
      MaxProgressBytes(this->store.deployment().row_bytes)) {
    this->Refuse(exchange, kPayloadTooLarge, job,
                 "the job's progress would be too large for a row");
    return;
  }
  if (this->admission && IsAdmissionInForce(*this->config))
    submission.admission =
        MakeAdmissionRequest(*this->config, queue, spec, organisation);
  // A job that is submitted twice is not rejected: a rejection of one
  // submission would be wrong once the other is written.
  for (auto& [other_choice, other] : this->unassigned) {
    if (other.job != job)
      continue;
    other.admission.reset();
    submission.admission.reset();
  }
  const bool needs_load = submission.admission.has_value();
  const std::uint64_t choice = ++this->last_choice;
  this->unassigned.emplace(choice, std::move(submission));
  if (!home_shard) {
    this->choose_shard(queue, spec, organisation, [this, choice](int shard) {
      this->Assign(choice, shard);
    });
    return;
  }
  const auto assign = [this, choice, home = *home_shard] {
    this->Assign(choice, home);
  };
  if (needs_load)
    this->loads.refresh(*home_shard, assign);
  else
    assign();
}

void CallerApi::Assign(std::uint64_t choice, int shard) {
  const auto chosen = this->unassigned.find(choice);
  if (chosen == this->unassigned.end())
    return;
  chosen->second.shard = {.number = shard, .count = this->shards};
  this->Admit(choice);
}

// --- Rejection of jobs that cannot be done in time ---

// Whether this daemon is writing the job, or may still do so.
bool CallerApi::IsPendingWrite(const std::string& job) const {
  const auto found = this->parts.find(ProgressRow(job).part);
  if (found == this->parts.end())
    return false;
  const auto contains = [&job](const auto& submissions) {
    return std::any_of(
        submissions.begin(), submissions.end(),
        [&job](const Submission& other) { return other.job == job; });
  };
  const PartQueue& queue = found->second;
  return contains(queue.waiting) || contains(queue.to_retry) ||
         (queue.in_flight && contains(*queue.in_flight));
}

// Whether this or another submission of the job may be stored, or may yet be.
bool CallerApi::MayBeWritten(const std::string& job) {
  return this->IsPendingWrite(job) ||
         this->unknown_outcomes.MayContain(job, base::MonotonicNow());
}

// A rejection says that the job never runs. A job that may be stored, by this
// submission's caller or by an earlier one, is therefore admitted: its write
// fails on the row that is there.
void CallerApi::Admit(std::uint64_t choice) {
  const Submission& submission = this->unassigned.at(choice);
  std::optional<Rejection> rejection;
  if (submission.admission)
    rejection = this->admission->Decide(
        *submission.admission, this->loads.load_of(submission.shard.number));
  const base::Micros now = base::MonotonicNow();
  const bool is_rejected =
      rejection && !this->IsPendingWrite(submission.job) &&
      !this->unknown_outcomes.MayContain(submission.job, now) &&
      this->reads_before_rejection.Take(now);
  if (is_rejected)
    this->ReadBeforeRejection(choice, *rejection);
  else
    this->Enqueue(choice);
}

void CallerApi::ReadBeforeRejection(std::uint64_t choice,
                                    const Rejection& rejection) {
  const base::Micros now = base::MonotonicNow();
  this->pending_rejections.emplace(
      choice,
      PendingRejection{.rejection = rejection, .expiry = now + kMaxReadTime});
  if (this->pending_rejections.size() == 1)
    this->rejection_timer.StartOnce(kMaxReadTime);
  const std::string& job = this->unassigned.at(choice).job;
  const platform::RowKey at = ProgressRow(job);
  const platform::ReadQuery query{
      .table = at.table, .part = at.part, .from = job, .to = {}, .limit = 1};
  this->store.Read(
      query, [this, choice](const std::optional<platform::ReadResult>& result) {
        this->OnReadBeforeRejection(choice, result);
      });
}

void CallerApi::OnReadBeforeRejection(
    std::uint64_t choice,
    const std::optional<platform::ReadResult>& result) {
  const auto pending = this->pending_rejections.extract(choice);
  const auto found = this->unassigned.find(choice);
  if (pending.empty() || found == this->unassigned.end())
    return;
  // Reset if the same job was submitted again meanwhile.
  if (!result || !found->second.admission) {
    this->Enqueue(choice);
    return;
  }
  const auto submission = this->unassigned.extract(found);
  const std::string& job = submission.mapped().job;
  const http::ExchangePtr& exchange = submission.mapped().exchange;
  const bool is_stored =
      !result->rows.empty() && result->rows.front().at.key == job;
  if (is_stored) {
    this->AnswerStoredJob(submission.mapped(), result->rows.front());
    return;
  }
  const Rejection& rejection = pending.mapped().rejection;
  this->counters.Add(base::Counter::kRejectedByWait);
  if (rejection.status == kTooManyRequests)
    this->counters.Add(base::Counter::kRejectedOverRate);
  this->Refuse(exchange, rejection.status, job, rejection.reason,
               rejection.retry_after);
}

// Admits the submissions whose read has not been answered in time.
void CallerApi::AdmitOverdue() {
  const base::Micros now = base::MonotonicNow();
  std::vector<std::uint64_t> overdue;
  base::Micros next_expiry = base::Micros::max();
  for (const auto& [choice, pending] : this->pending_rejections) {
    if (pending.expiry <= now)
      overdue.push_back(choice);
    else
      next_expiry = std::min(next_expiry, pending.expiry);
  }
  if (next_expiry != base::Micros::max())
    this->rejection_timer.StartOnce(next_expiry - now);
  for (const std::uint64_t choice : overdue) {
    this->pending_rejections.erase(choice);
    this->Enqueue(choice);
  }
}

// --- Writes ---

void CallerApi::Enqueue(std::uint64_t choice) {
  auto admitted = this->unassigned.extract(choice);
  if (admitted.empty())
    return;
  Submission& submission = admitted.mapped();
  const std::string part = ProgressRow(submission.job).part;
  this->parts[part].waiting.push_back(std::move(submission));
  this->WritePart(part);
}

// One write per part is in flight; jobs that arrive meanwhile share the next.
void CallerApi::WritePart(const std::string& part) {
  PartQueue& queue = this->parts[part];
  if (queue.in_flight || queue.waiting.empty())
    return;
  std::vector<Submission> batch;
  std::set<std::string> batch_jobs;
  std::vector<Submission> duplicates;
  platform::WriteBatch write;
  platform::BatchRoom batch_room(false);
  while (!queue.waiting.empty()) {
    Submission& front = queue.waiting.front();
    const bool must_wait = front.write_alone && !batch.empty();
    if (must_wait || !batch_room.Take(part, kEntriesPerJob, front.row.size()))
      break;
    const bool write_alone = front.write_alone;
    Submission next = std::move(front);
    queue.waiting.pop_front();
    // A second submission of the same job goes into a later write, where its
    // condition fails on the row of the first.
    if (!batch_jobs.insert(next.job).second) {
      duplicates.push_back(std::move(next));
      continue;
    }
    // The condition is on the progress row, since it outlives the job's own
    // row, which is removed when the job finishes.
    write.conditions.push_back({.at = ProgressRow(next.job), .version = 0});
    write.conditions.push_back({.at = CancelledRowOf(next), .version = 0});
    write.puts.push_back(
        {.at = JobRow(next.job, next.shard), .value = next.row});
    jobs::Progress queued;
    queued.organisation = next.origin.organisation;
    queued.queue = next.origin.queue;
    write.puts.push_back({.at = ProgressRow(next.job),
                          .value = EncodeProgressRecord(
                              {.shard = next.shard.number,
                               .text = jobs::EncodeProgress(queued)})});
    batch.push_back(std::move(next));
    if (write_alone)
      break;
  }
  for (Submission& submission : duplicates)
    queue.waiting.push_front(std::move(submission));
  auto in_flight = std::make_shared<std::vector<Submission>>(std::move(batch));
  queue.in_flight = in_flight;
  this->store.Write(
      write, [this, part, in_flight](const platform::WriteResult& result) {
        this->parts[part].in_flight.reset();
        this->OnWriteResult(part, std::move(*in_flight), result);
        this->WritePart(part);
      });
}

platform::RowKey CallerApi::CancelledRowOf(const Submission& submission) {
  return CancelledIdRow(submission.job,
                        submission.origin.organisation.value_or(""));
}

void CallerApi::OnWriteResult(const std::string& part,
                              std::vector<Submission> batch,
                              const platform::WriteResult& result) {
  std::map<platform::RowKey, const platform::Row*> stored;
  for (const platform::Row& row : result.rows) {
    if (row.version > 0)
      stored[row.at] = &row;
  }
  for (Submission& submission : batch) {
    const bool written = result.outcome == platform::WriteOutcome::kDone;
    const bool is_conflict =
        result.outcome == platform::WriteOutcome::kConflict;
    const auto job_row = stored.find(ProgressRow(submission.job));
    const bool already_stored = is_conflict && job_row != stored.end();
    const bool was_cancelled =
        is_conflict && stored.contains(CancelledRowOf(submission));
    if (written) {
      this->AnswerAccepted(submission, false);
      continue;
    }
    if (already_stored) {
      this->AnswerStoredJob(submission, *job_row->second);
      continue;
    }
    if (was_cancelled) {
      this->Refuse(submission.exchange, kGone, submission.job,
                   "the job was cancelled before it was stored");
      continue;
    }
    if (result.outcome == platform::WriteOutcome::kUnknown)
      submission.may_be_written = true;
    // Another job of the batch may be the one that the store rejects: retries
    // each in a write of its own.
    const bool permanent = result.outcome == platform::WriteOutcome::kRefused;
    if (permanent && batch.size() > 1) {
      submission.write_alone = true;
      this->parts[part].waiting.push_back(std::move(submission));
      continue;
    }
    const bool refused =
        permanent || result.outcome == platform::WriteOutcome::kNotDone;
    if (refused && !submission.may_be_written) {
      this->Refuse(submission.exchange, kServiceUnavailable, submission.job,
                   "the store does not take writes now",
                   this->RetryAfterOutage());
      continue;
    }
    this->ScheduleRetry(part, std::move(submission));
  }
  const bool unknown = result.outcome == platform::WriteOutcome::kUnknown;
  this->write_retry_delay =
      unknown ? std::min(2 * this->write_retry_delay, kMaxWriteRetryDelay)
              : kWriteRetryDelay;
}

void CallerApi::AnswerAccepted(const Submission& submission, bool again) {
  this->counters.Add(base::Counter::kAnswered);
  base::Log(base::Event::kJobAccepted,
            {{"job", submission.job}, {"again", again}});
  this->Reply(submission.exchange, http::JsonResponse(kOk, "{}"));
}

// The id has a progress row, by this caller's earlier submission or by another
// organisation's. While it is not known by whose, the job may have been
// accepted, so that the answer is 504.
void CallerApi::AnswerStoredJob(const Submission& submission,
                                const platform::Row& stored) {
  const auto record = DecodeProgressRecord(stored.value);
  if (!record) {
    base::Log(base::Event::kRowMalformed, {{"row", submission.job}});
    this->AnswerAccepted(submission, true);
    return;
  }
  const auto progress = jobs::DecodeProgress(record->text);
  const JobOrigin origin = progress ? OriginOf(*progress) : JobOrigin();
  // Deciding may take calls whose failure is answered 503.
  if (DecideJobAccess(*this->config, *submission.origin.organisation, origin) !=
      JobAccess::kAllowed)
    this->unknown_outcomes.Add(submission.job, base::MonotonicNow());
  const JobRequest request{.exchange = submission.exchange,
                           .job = submission.job,
                           .organisation = *submission.origin.organisation,
                           .config_source = submission.config_source};
  this->CheckAccess(
      request, origin, record->shard, [this, submission](JobAccess access) {
        if (access == JobAccess::kAllowed)
          this->AnswerAccepted(submission, true);
        else if (access == JobAccess::kDenied)
          this->Refuse(submission.exchange, kConflict, submission.job,
                       "the id is taken");
        else
          this->Refuse(submission.exchange, kGatewayTimeout, submission.job,
                       "it is not known whether the job was taken: ask again");
      });
}

// If the job cannot be retried before its deadline, or the store seems
// unreachable, the caller is answered at once: its own retry may reach another
// daemon that can write.
void CallerApi::ScheduleRetry(const std::string& part, Submission submission) {
  const bool past_deadline =
      base::MonotonicNow() + this->write_retry_delay > submission.deadline;
  if (past_deadline || this->store.SeemsAway()) {
    this->unknown_outcomes.Add(submission.job, base::MonotonicNow());
    this->Refuse(submission.exchange, kGatewayTimeout, submission.job,
                 "it is not known whether the job was taken: ask again");
    return;
  }
  this->parts[part].to_retry.push_back(std::move(submission));
  this->retry_timer.StartOnce(this->write_retry_delay);
}

void CallerApi::RetryWrites() {
  for (auto& [part, queue] : this->parts) {
    for (Submission& submission : std::exchange(queue.to_retry, {}))
      queue.waiting.push_back(std::move(submission));
    this->WritePart(part);
  }
}

}  // namespace quartzhoist::entry
