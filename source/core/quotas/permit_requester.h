#ifndef AMARANTHLANE_CORE_QUOTAS_PERMIT_REQUESTER_H_
#define AMARANTHLANE_CORE_QUOTAS_PERMIT_REQUESTER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "core/access/organisation_name.h"
#include "core/quotas/permit_messages.h"
#include "core/types.h"

namespace amaranthlane::quotas {

// How long a member may take to answer a request for permits.
inline constexpr std::chrono::milliseconds kPermitReplyTimeout{150};

struct PermitSettings {
  // How long a permit may be used, from the sending of the request for it. A window may hold operations whose permits
  // were granted this long before it.
  Duration validity = kPermitReplyTimeout;
  // How long an operation waits for a permit at most: until two members have not answered and a third one has.
  Duration max_wait = 2 * kPermitReplyTimeout + std::chrono::milliseconds(50);
  // How long a member that didn't answer, or may not allocate, isn't asked again.
  Duration failure_backoff = std::chrono::milliseconds(500);
  // How long a member that had nothing left for an organisation isn't asked again. It keeps what it gains meanwhile, so
  // that one request can be granted more than one permit.
  Duration exhaustion_backoff = std::chrono::milliseconds(100);
};

using OperationId = std::uint64_t;

struct SendPermitRequest {
  VmName member;
  PermitRequest request;
};
// The operation may run, now.
struct AdmitOperation {
  OperationId id = 0;
};
// The operation must not run. Another one of its organisation may be admitted after `retry_after`.
struct RefuseOperation {
  OperationId id = 0;
  std::string reason;
  Duration retry_after{};
};
using Action = std::variant<SendPermitRequest, AdmitOperation, RefuseOperation>;
using Actions = std::vector<Action>;

// Obtains permits for this VM's operations. An operation asks one member after the other until one grants a permit, and
// is refused when none does. One request to each member is in flight; operations that come meanwhile share the next.
// Used on one thread.
class PermitRequester {
 public:
  PermitRequester(VmName vm, const PermitSettings& settings);

  // The members that allocate permits: those of this VM's data centre, which are asked first, and the others.
  void SetMembers(std::vector<VmName> near, std::vector<VmName> far);

  // An operation begins. It is admitted or refused by an action, perhaps one of this call.
  OperationId Acquire(const OrganisationName& organisation, TimePoint now, Actions& actions);
  // The operation needs no permit any more.
  void Cancel(OperationId id);

  // A reply that arrives after its permits have expired counts as a failure.
  void OnReply(const VmName& member, const PermitReply& reply, TimePoint now, Actions& actions);
  // The member didn't answer in time.
  void OnFailure(const VmName& member, TimePoint now, Actions& actions);
  // The member runs an earlier build, which knows no limits. Its operations are admitted: the other VMs of that build
  // admit theirs as well.
  void OnUnsupported(const VmName& member, TimePoint now, Actions& actions);
  // Refuses operations that have waited for too long, and forgets permits that have expired.
  void Tick(TimePoint now, Actions& actions);

  std::size_t WaitingCount() const;

 private:
  struct Operation {
    OrganisationName organisation;
    TimePoint wait_deadline;
    // The members that were asked for this operation, or are being asked.
    std::set<VmName> asked;
    // The member that it waits for, whether the request has been sent or not.
    VmName member;
  };
  struct Permits {
    std::uint64_t count = 0;
    TimePoint expires_at;
  };
  // A member that had nothing left for an organisation.
  struct Exhaustion {
    TimePoint until;
    // When the member expects to have a permit for one more caller.
    TimePoint retry_at;
    Duration interval{};
  };
  struct OrganisationState {
    // Permits whose operations had been cancelled or refused when the reply arrived.
    std::deque<Permits> permits;
    std::map<VmName, Exhaustion> exhausted;
    // When the caller that was refused last is to retry.
    TimePoint last_retry_at;
  };
  struct MemberState {
    bool in_flight = false;
    TimePoint sent_at;
    // The operations of the request in flight, in the order of their arrival.
    std::vector<OperationId> operations;
    TimePoint backoff_until;
  };

  bool Allocates(const VmName& member) const;
  bool TakeUnusedPermit(const OrganisationName& organisation, TimePoint now);
  std::vector<VmName> PreferredMembers(const OrganisationName& organisation) const;
  // Chooses the next member for the operation, or refuses it.
  void AskNextMember(OperationId id, TimePoint now, Actions& actions);
  void RefuseForLackOfPermits(OperationId id, TimePoint now, Actions& actions);
  // Sends the next request to the member if operations wait for it. If it is no member any more, they ask others.
  void SendRequest(const VmName& member, TimePoint now, Actions& actions);
  // Ends the request in flight and returns its operations that still wait.
  std::vector<OperationId> EndRequest(const VmName& member);
  void Admit(OperationId id, Actions& actions);

  VmName vm;
  PermitSettings settings;
  std::vector<VmName> near;
  std::vector<VmName> far;
  OperationId last_id = 0;
  // Those that wait, in the order of their arrival.
  std::map<OperationId, Operation> operations;
  std::map<OrganisationName, OrganisationState> organisations;
  std::map<VmName, MemberState> members;
};

}  // namespace amaranthlane::quotas

#endif  // AMARANTHLANE_CORE_QUOTAS_PERMIT_REQUESTER_H_
