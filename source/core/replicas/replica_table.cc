#include "core/replicas/replica_table.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace amaranthlane::replicas {
namespace {

// After a read that was faster than expected, the expected read time falls by 1 / kReadTimeDecay of the difference.
constexpr int kReadTimeDecay = 8;

std::uint32_t ActiveStatements(const std::vector<InstanceLoad>& load, const EndpointName& endpoint) {
  const auto found = std::ranges::find(load, endpoint, &InstanceLoad::endpoint);
  return found == load.end() ? 0 : found->active_statements;
}

}  // namespace

ReplicaTable::ReplicaTable(ReplicaSettings settings) : settings(settings), ages(settings.age_samples) {}

std::vector<AcknowledgementResult> ReplicaTable::ApplyRecord(const GroupRecord& record) {
  if (record.term < this->record.term) return {};
  std::vector<AcknowledgementResult> ended;
  if (record.term > this->record.term) {
    this->ages.Clear();
    this->stalled_since.reset();
    ended = this->waits.FailAll();
  }
  std::vector<InstanceState> updated;
  for (const Instance& instance : record.instances) {
    const InstanceState* known = this->Find(instance.endpoint);
    InstanceState& state = updated.emplace_back(known == nullptr ? InstanceState() : *known);
    state.instance = instance;
    state.read_time = std::max(state.read_time, this->settings.min_read_time);
  }
  this->instances = std::move(updated);
  this->record = record;
  this->terms.AddLowerBounds(record.history);
  return ended;
}

void ReplicaTable::SetTermBase(const TermBase& base) { this->terms.SetExactBase(base); }

void ReplicaTable::ProbeSent(const EndpointName& endpoint, TimePoint sent_at) {
  InstanceState* state = this->FindMutable(endpoint);
  if (state != nullptr && !state->pending_probe_sent_at) state->pending_probe_sent_at = sent_at;
}

void ReplicaTable::ProbeFailed(const EndpointName& endpoint, TimePoint sent_at) {
  InstanceState* state = this->FindMutable(endpoint);
  if (state == nullptr) return;
  if (state->pending_probe_sent_at && *state->pending_probe_sent_at <= sent_at) state->pending_probe_sent_at.reset();
  // A failure of an older probe says nothing about the instance after a newer reply.
  if (!state->answered_probe_sent_at || *state->answered_probe_sent_at <= sent_at) state->probe_failed = true;
}

std::vector<AcknowledgementResult> ReplicaTable::ProbeAnswered(TimePoint now, TimePoint sent_at,
                                                               const PositionReply& reply) {
  InstanceState* state = this->FindMutable(reply.endpoint);
  if (state == nullptr) return {};
  if (state->pending_probe_sent_at && *state->pending_probe_sent_at <= sent_at) state->pending_probe_sent_at.reset();
  if (state->answered_probe_sent_at && sent_at < *state->answered_probe_sent_at) return {};
  const std::uint64_t confirmed_before = this->ConfirmedOffset().value_or(0);
  state->role = reply.role;
  state->term = reply.term;
  state->position = reply.position;
  state->synced_term = reply.synced_term;
  state->answered_probe_sent_at = sent_at;
  state->reply_received_at = now;
  state->probe_failed = false;
  this->UpdateStall(now, confirmed_before);
  if (this->IsPrimary(*state)) {
    this->ages.Record(sent_at, reply.position.offset);
    return {};
  }
  const std::optional<std::uint64_t> confirmed = this->ConfirmedOffset();
  if (this->frozen || !confirmed) return {};
  return this->waits.Confirm(*confirmed);
}

void ReplicaTable::ReadFinished(const EndpointName& endpoint, Duration took) {
  InstanceState* state = this->FindMutable(endpoint);
  if (state == nullptr) return;
  const Duration decayed = state->read_time - (state->read_time - took) / kReadTimeDecay;
  state->read_time = std::max({took, decayed, this->settings.min_read_time});
}

std::optional<Duration> ReplicaTable::AgeBound(TimePoint now, const ReadReply& reply) const {
  const InstanceState* state = this->Find(reply.endpoint);
  if (state == nullptr || reply.term != this->record.term) return std::nullopt;
  if (reply.endpoint == this->record.primary) return std::max(Duration::zero(), now - reply.sent_at);
  if (!this->IsSynced(*state)) return std::nullopt;
  return this->ages.AgeBound(now, reply.position.offset);
}

std::optional<Duration> ReplicaTable::AgeBound(TimePoint now, const EndpointName& endpoint) const {
  const InstanceState* state = this->Find(endpoint);
  if (state == nullptr) return std::nullopt;
  if (endpoint == this->record.primary) return Duration::zero();
  if (!this->IsSynced(*state)) return std::nullopt;
  return this->ages.AgeBound(now, state->position.offset);
}

ReadChoice ReplicaTable::ChooseReadEndpoint(TimePoint now, const ReadRequest& request,
                                            const std::vector<InstanceLoad>& load) const {
  const Coverage coverage = this->TokenCoverage(request);
  if (coverage == Coverage::kLost) return ReadChoice{ReadOutcome::kPositionLost, {}, {}};
  if (coverage == Coverage::kUnknown) return ReadChoice{ReadOutcome::kPositionUnknown, {}, {}};
  const InstanceState* best = nullptr;
  const auto order = [&load, &request](const InstanceState& state) {
    return std::tuple(ActiveStatements(load, state.instance.endpoint),
                      state.instance.data_centre != request.data_centre, ~state.position.offset);
  };
  for (const InstanceState& state : this->instances) {
    if (!this->MayServe(now, request, state)) continue;
    if (best == nullptr || order(state) < order(*best)) best = &state;
  }
  if (best == nullptr) return ReadChoice{ReadOutcome::kPrimary, this->record.primary, Duration::zero()};
  const std::optional<Duration> age = this->AgeBound(now, best->instance.endpoint);
  return ReadChoice{ReadOutcome::kReplica, best->instance.endpoint, age.value_or(request.max_staleness)};
}

bool ReplicaTable::MayReturnToCaller(TimePoint now, const ReadRequest& request, const ReadReply& reply) const {
  if (this->TokenCoverage(request) != Coverage::kCovered) return false;
  if (request.token && reply.position.offset < request.token->offset) return false;
  const std::optional<Duration> age = this->AgeBound(now, reply);
  if (!age) return false;
  return reply.endpoint == this->record.primary || *age <= request.max_staleness;
}

bool ReplicaTable::IsReplicated(Term term, const LogPosition& position) const {
  return term == this->record.term && !this->frozen && this->ConfirmedOffset().value_or(0) >= position.offset;
}

std::optional<AcknowledgementResult> ReplicaTable::AwaitReplicated(StatementId statement, Term term,
                                                                   const LogPosition& position, TimePoint deadline) {
  if (term != this->record.term) return AcknowledgementResult{statement, position, Replication::kUnknown};
  if (this->IsReplicated(term, position)) {
    return AcknowledgementResult{statement, position, Replication::kReplicated};
  }
  this->waits.Add(statement, position, deadline);
  return std::nullopt;
}

std::optional<TimePoint> ReplicaTable::StalledSince() const { return this->stalled_since; }

void ReplicaTable::FreezeAcknowledgements() { this->frozen = true; }

std::vector<AcknowledgementResult> ReplicaTable::UnfreezeAcknowledgements() {
  this->frozen = false;
  return this->waits.Confirm(this->ConfirmedOffset().value_or(0));
}

std::vector<AcknowledgementResult> ReplicaTable::Tick(TimePoint now) { return this->waits.Expire(now); }

TimePoint ReplicaTable::NextDeadline() const { return this->waits.NextDeadline(); }

Term ReplicaTable::CurrentTerm() const { return this->record.term; }

const EndpointName& ReplicaTable::Primary() const { return this->record.primary; }

const InstanceState* ReplicaTable::Find(const EndpointName& endpoint) const {
  const auto found = std::ranges::find_if(
      this->instances, [&endpoint](const InstanceState& state) { return state.instance.endpoint == endpoint; });
  return found == this->instances.end() ? nullptr : &*found;
}

const std::vector<InstanceState>& ReplicaTable::Instances() const { return this->instances; }

InstanceState* ReplicaTable::FindMutable(const EndpointName& endpoint) {
  const auto found = std::ranges::find_if(
      this->instances, [&endpoint](const InstanceState& state) { return state.instance.endpoint == endpoint; });
  return found == this->instances.end() ? nullptr : &*found;
}

bool ReplicaTable::IsPrimary(const InstanceState& state) const {
  return state.instance.endpoint == this->record.primary && state.role == Role::kPrimary &&
         state.term == this->record.term;
}

bool ReplicaTable::IsSynced(const InstanceState& state) const {
  return state.instance.endpoint != this->record.primary && state.role == Role::kReplica &&
         state.term == this->record.term && state.synced_term == this->record.term;
}

bool ReplicaTable::MayServe(TimePoint now, const ReadRequest& request, const InstanceState& state) const {
  if (request.max_staleness <= Duration::zero() || state.instance.leaving || state.probe_failed) return false;
  if (state.pending_probe_sent_at && now - *state.pending_probe_sent_at > this->settings.probe_timeout) return false;
  if (!this->IsSynced(state)) return false;
  if (request.token && state.position.offset < request.token->offset) return false;
  const std::optional<Duration> age = this->ages.AgeBound(now, state.position.offset);
  return age && *age + state.read_time <= request.max_staleness;
}

std::optional<std::uint64_t> ReplicaTable::ConfirmedOffset() const {
  std::optional<std::uint64_t> confirmed;
  for (const InstanceState& state : this->instances) {
    // A leaving instance may be gone when its confirmation is needed.
    if (state.instance.leaving || !this->IsSynced(state)) continue;
    confirmed = std::max(confirmed.value_or(0), state.position.offset);
  }
  return confirmed;
}

void ReplicaTable::UpdateStall(TimePoint now, std::uint64_t confirmed_before) {
  const InstanceState* primary = this->Find(this->record.primary);
  const std::uint64_t confirmed = this->ConfirmedOffset().value_or(0);
  if (primary == nullptr || !this->IsPrimary(*primary) || primary->position.offset <= confirmed) {
    this->stalled_since.reset();
  } else if (!this->stalled_since || confirmed > confirmed_before) {
    this->stalled_since = now;
  }
}

Coverage ReplicaTable::TokenCoverage(const ReadRequest& request) const {
  return request.token ? this->terms.CoverageOf(*request.token, this->record.term) : Coverage::kCovered;
}

}  // namespace amaranthlane::replicas
