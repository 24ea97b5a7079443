#ifndef AMARANTHLANE_CORE_COORDINATION_SETTINGS_H_
#define AMARANTHLANE_CORE_COORDINATION_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "core/types.h"

namespace amaranthlane::coordination {

// The intervals and time limits of heartbeats and leases.
struct CoordinationSettings {
  // Between two heartbeats to the same member.
  Duration heartbeat_interval = std::chrono::milliseconds(300);
  // How long a grant lasts. It bounds how long a change of primary waits for an isolated VM.
  Duration grant_duration = std::chrono::milliseconds(2000);
  // How long before the end of its lease a coordinator orders its last promotion. Until the lease ends, the order has
  // ended, and has taken effect if the platform received it.
  Duration promotion_window = std::chrono::milliseconds(1000);
  // How much earlier than its members a VM treats its lease as expired, to cover clock drift.
  Duration clock_drift_margin = std::chrono::milliseconds(100);
  // A member that has been silent for this long is replaced. Less than half of `grant_duration`, so that leases outlast
  // the replacement.
  Duration failure_timeout = std::chrono::milliseconds(800);
  // How much longer each further successor waits before it takes over, so that usually only one of them tries.
  Duration takeover_stagger = std::chrono::milliseconds(300);
  // How long a VM that hears fewer than half of the members waits before it replaces them or takes over as coordinator.
  // It may itself be the isolated one, and would interrupt a healthy fleet.
  Duration isolation_timeout = std::chrono::milliseconds(3000);
  // When so many members have been silent for this long that the grants of the others can't make up a lease, any VM may
  // take over as coordinator: the other members should have replaced the silent ones well before, and apparently can't.
  // Each VM waits up to `quorum_loss_jitter` longer, so that usually only one of them tries.
  Duration quorum_loss_timeout = std::chrono::milliseconds(1500);
  Duration quorum_loss_jitter = std::chrono::milliseconds(500);
  // Between two reads of the record by the first `store_poller_count` members. Other VMs read it while a member is
  // silent.
  Duration store_poll_interval = std::chrono::milliseconds(1000);
  std::size_t store_poller_count = 3;
  // A lease is no longer extended once none of the members that gave its grants has had an answer from the store for
  // this long, so that a VM that isn't a member can take over.
  Duration store_contact_timeout = std::chrono::seconds(20);
  // The same where a restore of the store may have lost the record that names these members, and for ordering
  // promotions. It bounds how long a VM can act on a record of which those that follow the restored one know nothing.
  Duration fresh_contact_timeout = std::chrono::seconds(3);
  // The store is restored from a copy that is this old at most.
  Duration max_copy_age = std::chrono::seconds(20);
  // Between two changes of the members by the coordinator.
  Duration member_replacement_interval = std::chrono::milliseconds(500);
  // Between two checks whether larger VMs can take the place of members.
  Duration size_check_interval = std::chrono::seconds(2);
  // How long a new coordinator waits for heartbeats before it chooses the other members.
  Duration initial_heartbeat_wait = std::chrono::milliseconds(700);
  // The maximum number of members besides the coordinator.
  std::size_t max_other_members = 4;
  // How long to wait for an answer from a peer or the store.
  Duration reply_timeout = std::chrono::milliseconds(600);
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_SETTINGS_H_
