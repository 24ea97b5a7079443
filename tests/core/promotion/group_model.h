#ifndef AMARANTHLANE_CORE_PROMOTION_GROUP_MODEL_H_
#define AMARANTHLANE_CORE_PROMOTION_GROUP_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ostream>
#include <random>
#include <string>
#include <vector>

#include "core/promotion/promotion_system.h"
#include "core/replicas/replica_table.h"

// Simulates three instances with asynchronous replication, the platform's object of the group, and a succession of
// leaders.
namespace amaranthlane::promotion {

enum class FaultKind : std::uint8_t {
  kKill,
  kRestart,
  kCutFromLeader,
  kReconnectLeader,
  kCutFromReplicas,
  kReconnectReplicas,
  kStallOpenConnections,
  kPlatformDown,
  kPlatformUp,
  kLosePlatformReply,
  kReplaceLeader,
  kPromote,
  kToggleLeaving,
};
inline constexpr int kFaultKinds = 13;

// `target` is the index of an instance, counted from the current primary.
struct Fault {
  FaultKind kind = FaultKind::kKill;
  std::size_t target = 0;
  Duration after = Duration::zero();
};

std::ostream& operator<<(std::ostream& out, const Fault& fault);

struct Entry {
  Term term = 0;
  std::uint64_t id = 0;
  TimePoint committed_at;
};

struct ModelInstance {
  EndpointName name;
  Term term = 0;
  EndpointName primary;
  std::vector<Entry> log;
  Term synced_term = 0;
  bool up = true;
  bool reaches_leader = true;
  bool reaches_replicas = true;
  // The open connections don't answer until the leader replaces them.
  bool open_connections_unresponsive = false;

  LogPosition LastPosition() const;
  replicas::PositionReply MakePositionReply() const;
};

class GroupModel {
 public:
  explicit GroupModel(std::uint32_t seed);

  void Run(Duration duration);
  void Apply(const Fault& fault);
  void Heal();
  ModelInstance& Primary();
  // Describes the state of the group for failure messages.
  std::string Describe() const;

  TimePoint now{std::chrono::seconds(1)};
  std::vector<ModelInstance> instances;
  std::unique_ptr<PromotionSystem> system;
  std::uint64_t acknowledged_count = 0;
  std::optional<TimePoint> last_acknowledged_at;
  // The longest time without an acknowledged write.
  Duration max_gap = Duration::zero();
  std::uint64_t updates_sent = 0;
  // The highest term that any leader has activated.
  Term highest_active_term = 0;
  std::vector<PlannedOutcome> planned_outcomes;
  // The violated guarantees; empty when there are none.
  std::vector<std::string> violations;

 private:
  using Effect = std::function<void()>;

  void StartLeader();
  void Step();
  void Replicate();
  void Follow(ModelInstance& replica);
  void SendProbes();
  void SendWrite();
  void TickLeader();
  void Execute(const SuspendPrimary& action);
  void Execute(const ResumePrimary& /*action*/) { this->draining = false; }
  void Execute(const FreezeAcknowledgements& /*action*/) { this->table->FreezeAcknowledgements(); }
  void Execute(const UnfreezeAcknowledgements& /*action*/) {
    this->ProcessResults(this->table->UnfreezeAcknowledgements());
  }
  void Execute(const ReplaceConnections& action);
  void Execute(const ProbeInstance& action);
  void Execute(const ReadGroupObject& action);
  void Execute(const UpdateGroupObject& action);
  void Execute(const ConfigureInstance& action);
  void Execute(const RecordAdopted& action);
  void Execute(const PrimaryChanged& action);
  void Execute(const StatusChanged& /*action*/) {}
  void Execute(const PlannedChangeEnded& action);
  void ProcessResults(const std::vector<replicas::AcknowledgementResult>& results);
  void CheckAges();
  bool HasEntry(const ModelInstance& instance, std::uint64_t id) const;
  ModelInstance& Find(const EndpointName& name);
  Duration RandomDelay();
  void Schedule(Duration delay, Effect effect);
  // Runs `effect` at the instance and then `answered` at the leader, or `refused` when the instance is down. Nothing
  // runs once the connection between them is cut.
  void Call(const EndpointName& name, bool open, Effect effect, Effect answered, Effect refused);

  std::mt19937 random;
  std::multimap<TimePoint, Effect> queue;
  std::uint64_t leaders = 0;
  std::unique_ptr<replicas::ReplicaTable> table;
  std::vector<Event> events;
  std::map<EndpointName, TimePoint> open_probes;
  TimePoint next_probes;
  std::uint64_t last_id = 0;
  std::uint64_t running_writes = 0;
  bool draining = false;
  std::map<std::uint64_t, Term> acknowledged;

  replicas::GroupRecord object;
  ObjectVersion version = 1;
  bool platform_up = true;
  bool lose_reply = false;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_GROUP_MODEL_H_
