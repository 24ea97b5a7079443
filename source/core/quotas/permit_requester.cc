#include "core/quotas/permit_requester.h"

#include <algorithm>
#include <utility>

#include "core/rendezvous.h"

namespace amaranthlane::quotas {

namespace {

// The delay suggested to callers while no member allocates.
constexpr std::chrono::milliseconds kRetryAfterNoAllocation{500};
constexpr std::chrono::milliseconds kMaxRetryDelay{5000};

void RotateBy(std::vector<VmName>& names, std::uint64_t number) {
  if (!names.empty()) {
    std::rotate(names.begin(), names.begin() + static_cast<std::ptrdiff_t>(number % names.size()), names.end());
  }
}

}  // namespace

PermitRequester::PermitRequester(VmName vm, const PermitSettings& settings) : vm(std::move(vm)), settings(settings) {}

void PermitRequester::SetMembers(std::vector<VmName> new_near, std::vector<VmName> new_far) {
  this->near = std::move(new_near);
  this->far = std::move(new_far);
}

// Each VM begins with other members, so that the shares of all members are used evenly.
std::vector<VmName> PermitRequester::PreferredMembers(const OrganisationName& organisation) const {
  const std::uint64_t hash = RendezvousHash(this->vm, organisation);
  std::vector<VmName> preferred = this->near;
  std::vector<VmName> others = this->far;
  RotateBy(preferred, hash);
  RotateBy(others, hash);
  preferred.insert(preferred.end(), others.begin(), others.end());
  return preferred;
}

OperationId PermitRequester::Acquire(const OrganisationName& organisation, TimePoint now, Actions& actions) {
  const OperationId id = ++this->last_id;
  if (this->TakeUnusedPermit(organisation, now)) {
    actions.emplace_back(AdmitOperation{id});
    return id;
  }
  this->operations.emplace(id, Operation{organisation, now + this->settings.max_wait, {}, {}});
  this->AskNextMember(id, now, actions);
  return id;
}

bool PermitRequester::TakeUnusedPermit(const OrganisationName& organisation, TimePoint now) {
  const auto found = this->organisations.find(organisation);
  if (found == this->organisations.end()) {
    return false;
  }
  std::deque<Permits>& permits = found->second.permits;
  while (!permits.empty() && (permits.front().count == 0 || now >= permits.front().expires_at)) {
    permits.pop_front();
  }
  if (permits.empty()) {
    return false;
  }
  --permits.front().count;
  return true;
}

void PermitRequester::Cancel(OperationId id) { this->operations.erase(id); }

void PermitRequester::AskNextMember(OperationId id, TimePoint now, Actions& actions) {
  Operation& operation = this->operations.at(id);
  const std::map<VmName, Exhaustion>& exhausted = this->organisations[operation.organisation].exhausted;
  for (const VmName& member : this->PreferredMembers(operation.organisation)) {
    const auto exhaustion = exhausted.find(member);
    const bool has_nothing_left = exhaustion != exhausted.end() && now < exhaustion->second.until;
    if (has_nothing_left || operation.asked.count(member) > 0 || now < this->members[member].backoff_until) {
      continue;
    }
    operation.member = member;
    operation.asked.insert(member);
    this->SendRequest(member, now, actions);
    return;
  }
  this->RefuseForLackOfPermits(id, now, actions);
}

void PermitRequester::RefuseForLackOfPermits(OperationId id, TimePoint now, Actions& actions) {
  OrganisationState& state = this->organisations[this->operations.at(id).organisation];
  this->operations.erase(id);
  const auto earliest = std::min_element(
      state.exhausted.begin(), state.exhausted.end(),
      [](const auto& left, const auto& right) { return left.second.retry_at < right.second.retry_at; });
  if (earliest == state.exhausted.end()) {
    actions.emplace_back(RefuseOperation{id, "no member allocates permits", kRetryAfterNoAllocation});
    return;
  }
  const auto& [member, exhaustion] = *earliest;
  // Callers that are refused one after the other come back one after the other.
  TimePoint retry_at = std::max({now, exhaustion.retry_at, state.last_retry_at + exhaustion.interval});
  retry_at = std::min<TimePoint>(retry_at, now + kMaxRetryDelay);
  state.last_retry_at = retry_at;
  actions.emplace_back(RefuseOperation{
      id, "the organisation has reached its rate limit; the next permit is due at " + member, retry_at - now});
}

bool PermitRequester::Allocates(const VmName& member) const {
  return std::find(this->near.begin(), this->near.end(), member) != this->near.end() ||
         std::find(this->far.begin(), this->far.end(), member) != this->far.end();
}

void PermitRequester::SendRequest(const VmName& member, TimePoint now, Actions& actions) {
  if (!this->Allocates(member)) {
    // It was replaced while a request to it was in flight.
    this->OnFailure(member, now, actions);
    return;
  }
  MemberState& state = this->members[member];
  if (state.in_flight) {
    return;
  }
  PermitRequest request;
  for (const auto& [id, operation] : this->operations) {
    if (operation.member == member) {
      ++request.counts[operation.organisation];
      state.operations.push_back(id);
    }
  }
  if (state.operations.empty()) {
    return;
  }
  state.in_flight = true;
  state.sent_at = now;
  actions.emplace_back(SendPermitRequest{member, std::move(request)});
}

std::vector<OperationId> PermitRequester::EndRequest(const VmName& member) {
  MemberState& state = this->members[member];
  state.in_flight = false;
  std::vector<OperationId> ended = std::exchange(state.operations, {});
  std::erase_if(ended, [this](OperationId id) { return this->operations.count(id) == 0; });
  return ended;
}

void PermitRequester::Admit(OperationId id, Actions& actions) {
  this->operations.erase(id);
  actions.emplace_back(AdmitOperation{id});
}

void PermitRequester::OnReply(const VmName& member, const PermitReply& reply, TimePoint now, Actions& actions) {
  const TimePoint expires_at = this->members[member].sent_at + this->settings.validity;
  if (!reply.allocating || now >= expires_at) {
    this->OnFailure(member, now, actions);
    return;
  }
  std::map<OrganisationName, std::uint64_t> unused;
  for (const auto& [organisation, grant] : reply.grants) {
    unused[organisation] = grant.granted;
    if (grant.retry_after.count() > 0) {
      this->organisations[organisation].exhausted[member] = {now + this->settings.exhaustion_backoff,
                                                             now + grant.retry_after, grant.interval};
    } else {
      this->organisations[organisation].exhausted.erase(member);
    }
  }
  std::vector<OperationId> not_granted;
  for (const OperationId id : this->EndRequest(member)) {
    std::uint64_t& permits = unused[this->operations.at(id).organisation];
    if (permits > 0) {
      --permits;
      this->Admit(id, actions);
    } else {
      not_granted.push_back(id);
    }
  }
  for (const auto& [organisation, count] : unused) {
    if (count > 0) {
      this->organisations[organisation].permits.push_back({count, expires_at});
    }
  }
  for (const OperationId id : not_granted) {
    this->AskNextMember(id, now, actions);
  }
  this->SendRequest(member, now, actions);
}

void PermitRequester::OnFailure(const VmName& member, TimePoint now, Actions& actions) {
  this->members[member].backoff_until = now + this->settings.failure_backoff;
  this->EndRequest(member);
  std::vector<OperationId> affected;
  for (const auto& [id, operation] : this->operations) {
    if (operation.member == member) {
      affected.push_back(id);
    }
  }
  for (const OperationId id : affected) {
    this->AskNextMember(id, now, actions);
  }
}

void PermitRequester::OnUnsupported(const VmName& member, TimePoint now, Actions& actions) {
  for (const OperationId id : this->EndRequest(member)) {
    this->Admit(id, actions);
  }
  this->SendRequest(member, now, actions);
}

void PermitRequester::Tick(TimePoint now, Actions& actions) {
  std::vector<OperationId> overdue;
  for (const auto& [id, operation] : this->operations) {
    if (now >= operation.wait_deadline) {
      overdue.push_back(id);
    }
  }
  for (const OperationId id : overdue) {
    this->RefuseForLackOfPermits(id, now, actions);
  }
  for (auto& [organisation, state] : this->organisations) {
    std::erase_if(state.permits, [now](const Permits& permits) { return now >= permits.expires_at; });
    std::erase_if(state.exhausted, [now](const auto& exhausted) {
      return now >= exhausted.second.until && now >= exhausted.second.retry_at;
    });
  }
  std::erase_if(this->organisations, [now](const auto& entry) {
    const OrganisationState& state = entry.second;
    return state.permits.empty() && state.exhausted.empty() && now >= state.last_retry_at;
  });
}

std::size_t PermitRequester::WaitingCount() const { return this->operations.size(); }

}  // namespace amaranthlane::quotas
