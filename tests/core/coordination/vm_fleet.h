#ifndef AMARANTHLANE_TESTS_CORE_COORDINATION_VM_FLEET_H_
#define AMARANTHLANE_TESTS_CORE_COORDINATION_VM_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "core/coordination/coordination_system.h"
#include "core/failover/primary_change_system.h"
#include "core/store_sync/store_sync_system.h"

namespace amaranthlane::coordination {

// Simulates the coordination, failover and store sync systems of several VMs, one database group, the store and the
// endpoints, driven by a seed. It checks throughout that no VM may use a replaced primary, that while a promotion is
// ordered no VM may use the former primary and no second VM may promote, that the platform receives no order with a
// lower fencing token than it has seen, that no acknowledged commit is lost where commits wait for replicas, and that
// each VM that has been undisturbed for kContactTime has every configuration that was acknowledged kConfigurationTime
// ago.
class VmFleet {
 public:
  // `shares` holds each VM's share of processors; empty: unknown.
  VmFleet(std::size_t vms, std::uint64_t seed, std::vector<Millicores> shares = {});

  void RunFor(std::chrono::milliseconds time);

  void Kill(std::size_t vm);
  void Restart(std::size_t vm);
  // Tells the other VMs that this one is shutting down. Until it is killed.
  void BeginShutdown(std::size_t vm);
  // The VM is gone for good. Another one starts in its place, under another name and address.
  void Replace(std::size_t vm);
  // Frozen VMs do nothing and receive nothing until they are unfrozen; messages sent to them arrive then.
  void SetFrozen(std::size_t vm, bool frozen);
  // Cuts the VM off from the other VMs and the store, but not from the endpoints.
  void SetIsolated(std::size_t vm, bool isolated);
  // Cuts the VM off from the platform's promotion call. Orders under way arrive when the cut ends, unless they have
  // ended before.
  void SetCutFromPromotions(std::size_t vm, bool cut);
  // A deaf replica receives nothing of the log.
  void SetDeaf(const EndpointName& endpoint, bool deaf);
  void SetDraining(const EndpointName& endpoint, bool draining);
  // An absent endpoint has left with its log: it neither runs nor has a directory entry. Nothing listens at its
  // address.
  void SetAbsent(const EndpointName& endpoint, bool absent);
  // An endpoint that is cut off from the store has no directory entry, but runs and receives.
  void SetCutFromStore(const EndpointName& endpoint, bool cut);
  // An endpoint without power neither runs nor has a directory entry, and what is sent to it gets no answer.
  void SetPowerless(const EndpointName& endpoint, bool powerless);
  // The endpoint starts again under its name, with an empty log.
  void StartAgain(const EndpointName& endpoint);
  // Separates these VMs from the others. The store stays reachable from both sides.
  void SetPartition(std::set<std::size_t> side);
  // The store acknowledges a new version of the configuration, if it is up.
  void PublishConfiguration();
  // The store comes back, if it was down, from a copy that is this old. It loses what it has acknowledged since, and
  // gives revisions out again. The operator writes the newest configuration again within kRewriteTime.
  void RestoreStore(std::chrono::milliseconds age);
  // The store's connections that carry a watch never deliver anything again; new ones work.
  void SilenceWatches();

  // The version of the configuration that the VM has.
  std::uint64_t ConfigurationVersion(std::size_t vm) const;
  bool IsMember(std::size_t vm) const;
  // The number of VMs that may use the group's primary now.
  std::size_t PrimaryUsers() const;
  // The version of the record that the store holds.
  std::uint64_t StoredVersion() const;
  // The live VM that is the coordinator by its own record; none if there are several or none.
  std::optional<std::size_t> Coordinator() const;
  const CoordinationSystem& System(std::size_t vm) const;
  TimePoint Now() const;
  std::size_t VmCount() const;
  const VmName& Name(std::size_t vm) const;
  Incarnation RunningIncarnation(std::size_t vm) const;
  // True when the VM's process runs and isn't frozen.
  bool Runs(std::size_t vm) const;
  // True when a message can pass from one VM to the other now.
  bool CanDeliver(std::size_t from, std::size_t to) const;
  const failover::PrimaryChangeSystem& Failover(std::size_t vm) const;

  // Faults of the store.
  bool store_down = false;
  double write_reply_loss = 0;
  bool lost_writes_are_delayed = false;
  // VMs that the store doesn't answer.
  std::set<std::size_t> vms_without_store;
  // For each endpoint, the VMs that it doesn't answer.
  std::map<EndpointName, std::set<std::size_t>> unreachable_from;

  // The endpoint that is primary, and whether it answers. Endpoints are e1 to e3.
  EndpointName primary = "e1";
  Term term = 1;
  bool primary_responds = true;
  // The number of log offsets by which the replicas are behind the primary, where commits don't wait for replicas.
  std::uint64_t replica_lag = 0;
  // The number of replicas that must have a commit before it is acknowledged. Where it isn't 0, the primary commits in
  // each step in which a VM may use it.
  std::uint64_t synchronous_replicas = 0;
  std::size_t promotions = 0;
  // Reads of the store by VMs whose copies no member confirmed.
  std::size_t store_reads = 0;
  std::optional<std::string> violation;

 private:
  static constexpr std::size_t kNoVm = SIZE_MAX;
  // What the store holds. A copy is kept of each state that it has had.
  struct StoreContent {
    TimePoint since;
    // By era, with the revision of each.
    std::map<StoreEra, std::pair<CoordinationRecord, ObjectVersion>> records;
    ObjectVersion revision = 0;
    std::uint64_t configuration = 1;
  };
  // A member's watch of the store.
  struct Watch {
    bool open = false;
    bool silent = false;
    TimePoint sent_at;
    TimePoint next;
    std::uint64_t known_version = 0;
  };
  struct Vm {
    VmName name;
    Incarnation incarnation = 0;
    bool alive = true;
    bool frozen = false;
    bool leaving = false;
    bool isolated = false;
    std::unique_ptr<CoordinationSystem> system;
    std::unique_ptr<failover::PrimaryChangeSystem> failover;
    std::unique_ptr<store_sync::StoreSyncSystem> store_sync;
    Watch watch;
    // The directory that it knows.
    failover::EndpointDirectory known_directory;
    // No list of the store has succeeded since the start.
    bool unread = true;
    TimePoint next_first_read;
    // When a fault last affected this VM, its connections or the store as a whole.
    TimePoint disturbed_at;
  };
  struct Endpoint {
    LogPosition position = {1, 1};
    bool deaf = false;
    bool draining = false;
    bool cut_from_store = false;
    bool powerless = false;
    Incarnation incarnation = 1;
  };
  // A promotion order that the platform hasn't received.
  struct HeldOrder {
    std::size_t vm = kNoVm;
    Incarnation incarnation = 0;
    failover::OrderPromotion order;
  };
  struct Event {
    TimePoint due;
    // The VM where the event happens, and that VM's incarnation when it was scheduled; events of an earlier incarnation
    // are dropped. kNoVm: none.
    std::size_t vm = kNoVm;
    Incarnation incarnation = 0;
    std::function<void()> run;
  };

  void Start(std::size_t vm);
  void Step();
  void Tick(std::size_t vm);
  void Schedule(std::size_t vm, Duration delay, std::function<void()> run);
  Duration RandomDelay();
  Duration RandomStoreSyncDelay();
  bool Chance(double share);
  void Perform(std::size_t vm, Actions& actions);
  void DeliverHeartbeat(std::size_t from, const SendHeartbeat& action);
  void ReadStore(std::size_t vm);
  void WriteStore(std::size_t vm, const WriteRecord& action);
  bool ApplyWrite(const WriteRecord& action);
  void KeepCopy();
  // Acknowledges the newest configuration again once the store is up.
  void RewriteConfiguration();
  void PerformFailover(std::size_t vm, const failover::Actions& actions);
  void AnswerQuery(std::size_t vm, const EndpointName& endpoint);
  void AnswerDepartedQuery(std::size_t vm, const failover::QueryDepartedEndpoint& query);
  void Promote(std::size_t vm, const failover::OrderPromotion& order);
  void ReceiveOrder(std::size_t vm, const failover::OrderPromotion& order);
  // The orders of this VM that the platform hasn't received end: their deadline is over, or `all` of them end.
  void EndOrders(std::size_t vm, bool all);
  void ReportPromotionResult(std::size_t vm, const failover::OrderPromotion& order, failover::PromotionResult result,
                             Duration delay);
  // The endpoint becomes primary, unless it has started again since.
  void TakeOver(const EndpointName& endpoint, Incarnation started);
  // The primary commits, and replicas receive.
  void Replicate();
  LogPosition Position(const EndpointName& endpoint) const;
  failover::EndpointDirectory Directory() const;
  void CheckPrimaryUsers();
  void CheckConfigurations();
  // True while the store answers this VM.
  bool StoreAnswers(std::size_t vm) const;
  void TickStoreSync(std::size_t vm);
  void TickWatch(std::size_t vm);
  void PerformStoreSync(std::size_t vm, const store_sync::Actions& actions);
  void FetchConfiguration(std::size_t vm, const store_sync::FetchConfiguration& action);
  void ReadConfiguration(std::size_t vm);
  std::optional<std::size_t> Find(const VmName& name) const;
  bool Responds(const EndpointName& endpoint, std::size_t vm) const;
  LocalReport MakeReport(std::size_t vm) const;

  std::mt19937_64 random;
  // For the messages of store sync, so that they don't change the course of coordination under a seed.
  std::mt19937_64 store_sync_random;
  TimePoint now;
  std::vector<Vm> vms;
  std::size_t replaced_vms = 0;
  std::vector<Millicores> shares;
  std::set<std::size_t> partition;
  std::vector<Event> events;
  std::map<EndpointName, Endpoint> endpoints = {{"e1", {}}, {"e2", {}}, {"e3", {}}};
  std::map<EndpointName, Endpoint> absent_endpoints;
  LogPosition acknowledged;
  std::set<std::size_t> cut_from_promotions;
  std::vector<HeldOrder> held_orders;
  std::uint64_t highest_token = 0;
  StoreContent stored;
  StoreEra store_era = 1;
  std::vector<StoreContent> copies;
  // When each version of the configuration was acknowledged, or, if a restore lost it, acknowledged again.
  std::map<std::uint64_t, TimePoint> configurations;
  // Former primaries by term.
  std::map<Term, EndpointName> former_primaries = {{1, "e1"}};
};

}  // namespace amaranthlane::coordination

#endif  // AMARANTHLANE_TESTS_CORE_COORDINATION_VM_FLEET_H_
