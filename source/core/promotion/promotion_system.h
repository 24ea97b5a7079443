#ifndef AMARANTHLANE_CORE_PROMOTION_PROMOTION_SYSTEM_H_
#define AMARANTHLANE_CORE_PROMOTION_PROMOTION_SYSTEM_H_

#include <memory>
#include <span>
#include <string>
#include <vector>

#include "core/promotion/messages.h"
#include "core/types.h"

// Decides when a group's primary is replaced, and by which instance.
namespace amaranthlane::promotion {

struct PromotionSettings {
  // How often the daemon probes the primary on an open connection, and when such a probe, or a statement that the
  // primary should have answered, counts as silent.
  Duration primary_probe_interval = std::chrono::milliseconds(50);
  Duration progress_limit = std::chrono::milliseconds(200);
  // How long a new connection to a suspected primary may take to answer, and how many must fail in a row.
  Duration new_connection_limit = std::chrono::milliseconds(150);
  std::uint32_t failed_connections_needed = 2;
  Duration reconnect_pause = std::chrono::milliseconds(50);
  // How long a probe of another instance may take, and how long the choice waits for further instances once one covers
  // every acknowledged position.
  Duration position_probe_limit = std::chrono::milliseconds(200);
  Duration collect_window = std::chrono::milliseconds(30);
  Duration configure_limit = std::chrono::milliseconds(300);
  // Delays of retries: the first, and the greatest that doubling leads to.
  Duration first_retry_delay = std::chrono::milliseconds(50);
  Duration greatest_retry_delay = std::chrono::seconds(1);
  // How long an unanswered update or read of the group's object is waited for.
  Duration platform_limit = std::chrono::milliseconds(500);
  // How long running work may take to finish in a planned change, and the target to catch up.
  Duration drain_limit = std::chrono::seconds(2);
};

// The promotion of one led group, from the start of one leadership to its end: a new leadership starts a new system.
class PromotionSystem {
 public:
  // `update_id_prefix` must be unique to this leadership, for instance VM, incarnation and epoch.
  PromotionSystem(PromotionSettings settings, GroupName group, std::string update_id_prefix);
  ~PromotionSystem();
  PromotionSystem(PromotionSystem&&) noexcept;
  PromotionSystem& operator=(PromotionSystem&&) noexcept;

  std::vector<Action> Tick(TimePoint now, std::span<const Event> events);
  // When Tick is due without an event; kNever when not at all.
  TimePoint NextDeadline() const;

  // Whether an answer of the primary of `term`, with its commit at `position`, may be passed on as acknowledged. Call
  // it at the moment of passing on, only for commits that are replicated; a true result is remembered, and later
  // primaries cover it.
  bool MayAcknowledge(Term term, const LogPosition& position);
  // Whether statements may be sent to the primary of the current term.
  bool MaySend() const;

  Term CurrentTerm() const;
  const EndpointName& Primary() const;
  Phase CurrentPhase() const;
  WaitReason CurrentReason() const;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_PROMOTION_SYSTEM_H_
