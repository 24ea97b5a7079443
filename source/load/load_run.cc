#include "load/load_run.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::load {

namespace {

constexpr std::chrono::milliseconds kTickInterval{1};
constexpr std::uint64_t kVerifyConcurrency = 32;
constexpr std::chrono::seconds kVerifyTimeout{10};

client::CallerSettings MakeCallerSettings(const Profile& profile) {
  client::CallerSettings settings;
  settings.vms = profile.vms;
  settings.bearer_key = profile.caller_key;
  settings.connections_per_vm = profile.connections_per_vm;
  settings.seed = profile.seed;
  return settings;
}

}  // namespace

LoadRun::LoadRun(boost::asio::io_context& loop, const Profile& profile)
    : profile(profile),
      caller(loop, MakeCallerSettings(profile)),
      generator(profile.seed),
      timer(loop),
      sessions(profile.sessions) {
  this->report.profile = profile;
  this->report.streams.resize(profile.streams.size());
}

void LoadRun::Start() {
  this->start = BootClock::now();
  this->end = this->start + this->profile.duration;
  this->next_arrival.assign(this->profile.streams.size(), this->start);
  for (const GroupName& group : this->profile.groups) {
    this->report.write_gaps[group].last_acknowledged = this->start;
  }
  for (SessionState& session : this->sessions) {
    session.last_write.assign(this->profile.groups.size(), static_cast<WriteIndex>(-1));
  }
  this->ScheduleTick();
}

const Report& LoadRun::Result() const { return this->report; }

void LoadRun::ScheduleTick() {
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
    }
  });
}

void LoadRun::Tick() {
  const TimePoint now = BootClock::now();
  for (std::size_t stream = 0; stream < this->profile.streams.size(); ++stream) {
    this->SendDueRequests(stream, std::min(now, this->end));
  }
  if (now < this->end || this->in_flight > 0) {
    this->ScheduleTick();
    return;
  }
  this->StartVerification();
}

double LoadRun::RateAt(const Stream& stream, TimePoint now) const {
  double rate = stream.rate;
  for (const RateChange& change : stream.rate_changes) {
    if (now >= this->start + change.from && now < this->start + change.until) {
      rate *= change.factor;
    }
  }
  return rate;
}

void LoadRun::SendDueRequests(std::size_t stream, TimePoint now) {
  TimePoint& next = this->next_arrival[stream];
  while (next < now) {
    const double rate = this->RateAt(this->profile.streams[stream], next);
    if (rate <= 0) {
      next = std::min(now, next + std::chrono::milliseconds(10));
      continue;
    }
    std::exponential_distribution<double> interarrival_time(rate);
    next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(interarrival_time(this->generator)));
    this->Send(stream, BootClock::now());
  }
}

void LoadRun::Send(std::size_t stream, TimePoint now) {
  SessionState& session = this->sessions[this->generator() % this->sessions.size()];
  const std::size_t group = this->generator() % this->profile.groups.size();
  switch (this->profile.streams[stream].mode) {
    case StreamMode::kWrite:
      this->SendWrite(stream, session, group, now);
      return;
    case StreamMode::kReadOwn:
      this->SendReadOwn(stream, session, group, now);
      return;
    case StreamMode::kRead:
      this->SendRead(stream, session, now);
      return;
  }
}

void LoadRun::SendWrite(std::size_t stream, SessionState& session, std::size_t group, TimePoint now) {
  const std::string key = "load-" + std::to_string(this->profile.seed) + "-" + std::to_string(this->history.Size());
  const WriteOperation operation = this->history.Size() % 2 == 0 ? WriteOperation::kAdd : WriteOperation::kPut;
  const WriteIndex write = this->history.RecordStart(this->profile.groups[group], key, operation);
  client::Statement statement;
  statement.group = this->profile.groups[group];
  statement.kind = this->profile.streams[stream].kind;
  statement.mode = outcomes::StatementMode::kWrite;
  statement.statement = this->history.WriteStatement(write);
  statement.deadline = now + this->profile.streams[stream].time_limit;
  ++this->in_flight;
  ++this->report.streams[stream].sent;
  this->caller.Execute(session.session, std::move(statement),
                       [this, stream, write, group, now, &session](const client::StatementResult& result) {
                         const TimePoint received_at = BootClock::now();
                         this->history.RecordOutcome(write, result.outcome, received_at);
                         if (result.outcome == Outcome::kDone) {
                           session.last_write[group] = write;
                           this->report.write_gaps[this->profile.groups[group]].Update(received_at);
                           this->CheckWriteResult(write, result);
                         }
                         this->RecordResult(stream, result, now);
                       });
}

void LoadRun::CheckWriteResult(WriteIndex write, const client::StatementResult& result) {
  switch (CheckRead(this->history.Get(write), result.result)) {
    case ReadCheck::kAppliedMoreThanOnce:
      this->CountViolation(Violation::kRanTwice);
      return;
    case ReadCheck::kUnexpectedValue:
      this->CountViolation(Violation::kForeignAnswer);
      return;
    case ReadCheck::kAbsent:
    case ReadCheck::kPresent:
      return;
  }
}

void LoadRun::SendReadOwn(std::size_t stream, SessionState& session, std::size_t group, TimePoint now) {
  const WriteIndex write = session.last_write[group];
  if (write == static_cast<WriteIndex>(-1)) {
    return;
  }
  this->Read(stream, session, write, now, Violation::kOwnWriteMissed);
}

void LoadRun::SendRead(std::size_t stream, SessionState& session, TimePoint now) {
  // The read may miss writes done less than `max_staleness` ago, so it asks for an older one.
  const WriteIndex write =
      this->history.PickDoneWrite(now - this->profile.streams[stream].max_staleness, this->generator);
  if (write < this->history.Size()) {
    this->Read(stream, session, write, now, Violation::kTooOld);
  }
}

void LoadRun::Read(std::size_t stream, SessionState& session, WriteIndex write, TimePoint now,
                   Violation violation_if_absent) {
  const Stream& settings = this->profile.streams[stream];
  if (!this->HasWritten(session, this->history.Get(write).group)) {
    ++this->report.streams[stream].by_sessions_without_writes;
  }
  client::Statement statement;
  statement.group = this->history.Get(write).group;
  statement.kind = settings.kind;
  statement.mode = outcomes::StatementMode::kRead;
  statement.statement = this->history.ReadStatement(write);
  statement.deadline = now + settings.time_limit;
  ++this->in_flight;
  ++this->report.streams[stream].sent;
  this->caller.Execute(session.session, std::move(statement),
                       [this, stream, write, now, violation_if_absent](const client::StatementResult& result) {
                         if (result.outcome == Outcome::kDone) {
                           const ReadCheck read_check = CheckRead(this->history.Get(write), result.result);
                           if (read_check == ReadCheck::kAbsent) {
                             this->CountViolation(violation_if_absent);
                           } else if (read_check == ReadCheck::kAppliedMoreThanOnce) {
                             this->CountViolation(Violation::kRanTwice);
                           } else if (read_check == ReadCheck::kUnexpectedValue) {
                             this->CountViolation(Violation::kForeignAnswer);
                           }
                         }
                         this->RecordResult(stream, result, now);
                       });
}

bool LoadRun::HasWritten(const SessionState& session, const GroupName& group) const {
  for (std::size_t index = 0; index < this->profile.groups.size(); ++index) {
    if (this->profile.groups[index] == group) {
      return session.last_write[index] != static_cast<WriteIndex>(-1);
    }
  }
  return false;
}

void LoadRun::RecordResult(std::size_t stream, const client::StatementResult& result, TimePoint sent_at) {
  --this->in_flight;
  StreamCounts& counts = this->report.streams[stream];
  counts.retried += result.attempts > 1 ? 1 : 0;
  if (result.outcome != Outcome::kDone) {
    ++(result.outcome == Outcome::kNotRun ? counts.not_run : counts.unknown);
    ++counts.problems[result.problem];
    return;
  }
  ++counts.done;
  counts.latency.Add(BootClock::now() - sent_at);
  counts.from_replica += result.from_replica ? 1 : 0;
  counts.max_age_bound = std::max(counts.max_age_bound, result.age_bound);
  const std::chrono::milliseconds max_staleness = this->profile.streams[stream].max_staleness;
  if (max_staleness.count() != 0 && result.from_replica && result.age_bound > max_staleness) {
    this->CountViolation(Violation::kTooOld);
  }
}

void LoadRun::CountViolation(Violation violation) { ++this->report.violations[static_cast<std::size_t>(violation)]; }

void LoadRun::StartVerification() {
  const TimePoint now = BootClock::now();
  for (auto& [group, gap] : this->report.write_gaps) {
    gap.Update(std::min(now, this->end));
  }
  if (this->profile.verify_kind.empty()) {
    this->report.unverified = this->history.Size();
    return;
  }
  for (std::uint64_t slot = 0; slot < kVerifyConcurrency; ++slot) {
    this->VerifyNext();
  }
}

void LoadRun::VerifyNext() {
  if (this->next_to_verify >= this->history.Size()) {
    return;
  }
  const WriteIndex write = this->next_to_verify++;
  client::Statement statement;
  statement.group = this->history.Get(write).group;
  statement.kind = this->profile.verify_kind;
  statement.mode = outcomes::StatementMode::kRead;
  statement.statement = this->history.ReadStatement(write);
  statement.deadline = BootClock::now() + kVerifyTimeout;
  this->caller.Execute(this->verify_session, std::move(statement),
                       [this, write](const client::StatementResult& result) {
                         this->RecordVerification(write, result);
                         this->VerifyNext();
                       });
}

void LoadRun::RecordVerification(WriteIndex write, const client::StatementResult& result) {
  if (result.outcome != Outcome::kDone) {
    ++this->report.unverified;
    return;
  }
  ++this->report.verified;
  const WriteRecord& record = this->history.Get(write);
  const ReadCheck read_check = CheckRead(record, result.result);
  if (read_check == ReadCheck::kAppliedMoreThanOnce) {
    this->CountViolation(Violation::kRanTwice);
  } else if (read_check == ReadCheck::kUnexpectedValue) {
    this->CountViolation(Violation::kForeignAnswer);
  } else if (read_check == ReadCheck::kAbsent && record.outcome == Outcome::kDone) {
    this->CountViolation(Violation::kLostWrite);
  } else if (read_check == ReadCheck::kPresent && record.outcome == Outcome::kNotRun) {
    this->CountViolation(Violation::kRanAfterRefusal);
  }
}

}  // namespace amaranthlane::load
