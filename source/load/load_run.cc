#include "load/load_run.h"

#include <algorithm>
#include <utility>

namespace amaranthlane::load {

namespace {

constexpr std::chrono::milliseconds kTickInterval{1};
constexpr std::uint64_t kVerifyConcurrency = 32;
constexpr std::chrono::seconds kVerifyLimit{10};

client::CallerSettings CallerSettingsOf(const Profile& profile) {
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
      caller(loop, CallerSettingsOf(profile)),
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
    this->report.gaps[group].last = this->start;
  }
  for (SessionRow& session : this->sessions) {
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
    this->SendDue(stream, std::min(now, this->end));
  }
  if (now < this->end || this->in_flight > 0) {
    this->ScheduleTick();
    return;
  }
  this->Verify();
}

double LoadRun::RateAt(const Stream& stream, TimePoint now) const {
  double rate = stream.rate;
  for (const RateChange& change : stream.changes) {
    if (now >= this->start + change.from && now < this->start + change.until) {
      rate *= change.factor;
    }
  }
  return rate;
}

void LoadRun::SendDue(std::size_t stream, TimePoint now) {
  TimePoint& next = this->next_arrival[stream];
  while (next < now) {
    const double rate = this->RateAt(this->profile.streams[stream], next);
    if (rate <= 0) {
      next = std::min(now, next + std::chrono::milliseconds(10));
      continue;
    }
    std::exponential_distribution<double> pause(rate);
    next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(pause(this->generator)));
    this->Send(stream, BootClock::now());
  }
}

void LoadRun::Send(std::size_t stream, TimePoint now) {
  SessionRow& session = this->sessions[this->generator() % this->sessions.size()];
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

void LoadRun::SendWrite(std::size_t stream, SessionRow& session, std::size_t group, TimePoint now) {
  const std::string key = "load-" + std::to_string(this->profile.seed) + "-" + std::to_string(this->ledger.Size());
  const WriteForm form = this->ledger.Size() % 2 == 0 ? WriteForm::kAdd : WriteForm::kPut;
  const WriteIndex write = this->ledger.Begin(this->profile.groups[group], key, form);
  client::Statement statement;
  statement.group = this->profile.groups[group];
  statement.kind = this->profile.streams[stream].kind;
  statement.mode = outcomes::StatementMode::kWrite;
  statement.statement = this->ledger.WriteStatement(write);
  statement.deadline = now + this->profile.streams[stream].time_limit;
  ++this->in_flight;
  ++this->report.streams[stream].sent;
  this->caller.Execute(session.session, std::move(statement),
                       [this, stream, write, group, now, &session](const client::StatementResult& result) {
                         const TimePoint answered = BootClock::now();
                         this->ledger.End(write, result.outcome, answered);
                         if (result.outcome == Outcome::kDone) {
                           session.last_write[group] = write;
                           this->report.gaps[this->profile.groups[group]].Acknowledge(answered);
                           this->JudgeWrite(write, result);
                         }
                         this->Count(stream, result, now);
                       });
}

void LoadRun::JudgeWrite(WriteIndex write, const client::StatementResult& result) {
  switch (JudgeRead(this->ledger.Row(write), result.result)) {
    case ReadVerdict::kTwice:
      this->Violate(Violation::kRanTwice);
      return;
    case ReadVerdict::kForeign:
      this->Violate(Violation::kForeignAnswer);
      return;
    case ReadVerdict::kAbsent:
    case ReadVerdict::kPresent:
      return;
  }
}

void LoadRun::SendReadOwn(std::size_t stream, SessionRow& session, std::size_t group, TimePoint now) {
  const WriteIndex write = session.last_write[group];
  if (write == static_cast<WriteIndex>(-1)) {
    return;
  }
  this->Read(stream, session, write, now, Violation::kOwnWriteMissed);
}

void LoadRun::SendRead(std::size_t stream, SessionRow& session, TimePoint now) {
  // Only what was done longer ago than the read may be old must be there.
  const WriteIndex write = this->ledger.DrawDone(now - this->profile.streams[stream].maximum_age, this->generator);
  if (write < this->ledger.Size()) {
    this->Read(stream, session, write, now, Violation::kTooOld);
  }
}

void LoadRun::Read(std::size_t stream, SessionRow& session, WriteIndex write, TimePoint now, Violation when_absent) {
  const Stream& row = this->profile.streams[stream];
  if (!this->HasWritten(session, this->ledger.Row(write).group)) {
    ++this->report.streams[stream].by_unwritten_sessions;
  }
  client::Statement statement;
  statement.group = this->ledger.Row(write).group;
  statement.kind = row.kind;
  statement.mode = outcomes::StatementMode::kRead;
  statement.statement = this->ledger.ReadStatement(write);
  statement.deadline = now + row.time_limit;
  ++this->in_flight;
  ++this->report.streams[stream].sent;
  this->caller.Execute(session.session, std::move(statement),
                       [this, stream, write, now, when_absent](const client::StatementResult& result) {
                         if (result.outcome == Outcome::kDone) {
                           const ReadVerdict verdict = JudgeRead(this->ledger.Row(write), result.result);
                           if (verdict == ReadVerdict::kAbsent) {
                             this->Violate(when_absent);
                           } else if (verdict == ReadVerdict::kTwice) {
                             this->Violate(Violation::kRanTwice);
                           } else if (verdict == ReadVerdict::kForeign) {
                             this->Violate(Violation::kForeignAnswer);
                           }
                         }
                         this->Count(stream, result, now);
                       });
}

bool LoadRun::HasWritten(const SessionRow& session, const GroupName& group) const {
  for (std::size_t index = 0; index < this->profile.groups.size(); ++index) {
    if (this->profile.groups[index] == group) {
      return session.last_write[index] != static_cast<WriteIndex>(-1);
    }
  }
  return false;
}

void LoadRun::Count(std::size_t stream, const client::StatementResult& result, TimePoint sent_at) {
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
  counts.greatest_age = std::max(counts.greatest_age, result.age_bound);
  const std::chrono::milliseconds allowed = this->profile.streams[stream].maximum_age;
  if (allowed.count() != 0 && result.from_replica && result.age_bound > allowed) {
    this->Violate(Violation::kTooOld);
  }
}

void LoadRun::Violate(Violation violation) { ++this->report.violations[static_cast<std::size_t>(violation)]; }

void LoadRun::Verify() {
  const TimePoint now = BootClock::now();
  for (auto& [group, gap] : this->report.gaps) {
    gap.Acknowledge(std::min(now, this->end));
  }
  if (this->profile.verify_kind.empty()) {
    this->report.unverified = this->ledger.Size();
    return;
  }
  for (std::uint64_t slot = 0; slot < kVerifyConcurrency; ++slot) {
    this->VerifyNext();
  }
}

void LoadRun::VerifyNext() {
  if (this->next_verified >= this->ledger.Size()) {
    return;
  }
  const WriteIndex write = this->next_verified++;
  client::Statement statement;
  statement.group = this->ledger.Row(write).group;
  statement.kind = this->profile.verify_kind;
  statement.mode = outcomes::StatementMode::kRead;
  statement.statement = this->ledger.ReadStatement(write);
  statement.deadline = BootClock::now() + kVerifyLimit;
  this->caller.Execute(this->verify_session, std::move(statement),
                       [this, write](const client::StatementResult& result) {
                         this->TakeVerification(write, result);
                         this->VerifyNext();
                       });
}

void LoadRun::TakeVerification(WriteIndex write, const client::StatementResult& result) {
  if (result.outcome != Outcome::kDone) {
    ++this->report.unverified;
    return;
  }
  ++this->report.verified;
  const WriteRow& row = this->ledger.Row(write);
  const ReadVerdict verdict = JudgeRead(row, result.result);
  if (verdict == ReadVerdict::kTwice) {
    this->Violate(Violation::kRanTwice);
  } else if (verdict == ReadVerdict::kForeign) {
    this->Violate(Violation::kForeignAnswer);
  } else if (verdict == ReadVerdict::kAbsent && row.outcome == Outcome::kDone) {
    this->Violate(Violation::kLostWrite);
  } else if (verdict == ReadVerdict::kPresent && row.outcome == Outcome::kNotRun) {
    this->Violate(Violation::kRanAfterRefusal);
  }
}

}  // namespace amaranthlane::load
