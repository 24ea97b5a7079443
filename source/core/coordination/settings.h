#ifndef AMARANTHLANE_CORE_COORDINATION_SETTINGS_H_
#define AMARANTHLANE_CORE_COORDINATION_SETTINGS_H_

#include <chrono>
#include <cstddef>

#include "core/types.h"

namespace amaranthlane::coordination {

// The intervals and limits of promises.
struct CoordinationSettings {
  // Between two beats to the same member.
  Duration heartbeat_interval = std::chrono::milliseconds(300);
  // How long a promise lasts. It bounds how long a change of primary waits for a VM that is cut off.
  Duration lease_duration = std::chrono::milliseconds(2000);
  // How much earlier the asker stops, to cover clock drift.
  Duration lease_margin = std::chrono::milliseconds(100);
  // A member that was silent for so long is replaced. Below half of `promise`, so that promises outlive the change.
  Duration failure_timeout = std::chrono::milliseconds(800);
  // How much longer each further successor waits, so that usually one of them tries.
  Duration takeover_stagger = std::chrono::milliseconds(300);
  // How long a VM that hears fewer than half of the members waits before it replaces them or takes the duty over: it
  // may itself be the one that is cut off, and would stop a fleet that is well.
  Duration isolation_timeout = std::chrono::milliseconds(3000);
  // The silence of members after which any VM may take the duty over: the other members should have replaced them long
  // ago, and can't. Each VM waits up to `quorum_loss_jitter` longer, so that usually one of them tries.
  Duration quorum_loss_timeout = std::chrono::milliseconds(1500);
  Duration quorum_loss_jitter = std::chrono::milliseconds(500);
  // Between two reads of the record by the first `store_poller_count` members. Others read it when members are silent.
  Duration store_poll_interval = std::chrono::milliseconds(1000);
  std::size_t store_poller_count = 3;
  // Promises end when no member has heard from the store for so long, so that a VM that isn't a member can take over.
  Duration store_contact_timeout = std::chrono::seconds(20);
  // Between two changes of the members by the holder.
  Duration member_replacement_interval = std::chrono::milliseconds(500);
  // After the record is created, the holder waits so long for beats before it picks the other members.
  Duration initial_heartbeat_wait = std::chrono::milliseconds(700);
  // Members besides the holder.
  std::size_t witness_count = 4;
  // How long an answer from a peer or the store is awaited.
  Duration answer_limit = std::chrono::milliseconds(600);
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_CORE_COORDINATION_SETTINGS_H_
