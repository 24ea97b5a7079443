#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include <chrono>
#include <cstdint>
#include <vector>

#include "core/leadership/fleet.h"

namespace amaranthlane::leadership {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TrueTime kFaultStart = seconds(5);
constexpr TrueTime kFaultEnd = seconds(30);
constexpr TrueTime kRecoveryTime = seconds(25);

enum class FaultKind : std::uint8_t {
  kPause,
  kRestart,
  kIsolate,
  kOutboundCut,
  kInboundCut,
  kDrain,
  kPlatformOutage,
  kLostPlatformReplies,
  kMessageLoss,
  kSlowNetwork
};

struct Fault {
  FaultKind kind = FaultKind::kPause;
  std::size_t node = 0;
  milliseconds at{0};
  milliseconds length{0};
};

void showValue(const Fault& fault, std::ostream& os) {  // NOLINT(readability-identifier-naming): RapidCheck's name
  os << "{kind " << static_cast<int>(fault.kind) << ", node " << fault.node << ", at " << fault.at.count()
     << " ms, for " << fault.length.count() << " ms}";
}

rc::Gen<Fault> ArbitraryFault() {
  return rc::gen::build<Fault>(
      rc::gen::set(&Fault::kind, rc::gen::element(FaultKind::kPause, FaultKind::kRestart, FaultKind::kIsolate,
                                                  FaultKind::kOutboundCut, FaultKind::kInboundCut, FaultKind::kDrain,
                                                  FaultKind::kPlatformOutage, FaultKind::kLostPlatformReplies,
                                                  FaultKind::kMessageLoss, FaultKind::kSlowNetwork)),
      rc::gen::set(&Fault::node, rc::gen::inRange<std::size_t>(0, 9)),
      rc::gen::set(&Fault::at, rc::gen::map(rc::gen::inRange(0, 20000), [](int ms) { return milliseconds(ms); })),
      rc::gen::set(&Fault::length, rc::gen::map(rc::gen::inRange(1, 5000), [](int ms) { return milliseconds(ms); })));
}

void BeginFault(Fleet& fleet, const Fault& fault, std::size_t node) {
  switch (fault.kind) {
    case FaultKind::kPause:
      return fleet.Pause(node, fault.length);
    case FaultKind::kRestart:
      return fleet.Kill(node);
    case FaultKind::kIsolate:
      return fleet.Isolate(node, fault.length);
    case FaultKind::kOutboundCut:
      fleet.nodes[node].outbound_cut_until = fleet.now + fault.length;
      return;
    case FaultKind::kInboundCut:
      fleet.nodes[node].inbound_cut_until = fleet.now + fault.length;
      return;
    case FaultKind::kDrain:
      return fleet.nodes[node].up ? fleet.Drain(node) : fleet.Start(node);
    case FaultKind::kPlatformOutage:
      fleet.conditions.platform_outage = true;
      return;
    case FaultKind::kLostPlatformReplies:
      fleet.conditions.platform_reply_loss = 0.7;
      return;
    case FaultKind::kMessageLoss:
      fleet.conditions.loss = 0.3;
      fleet.conditions.duplication = 0.3;
      return;
    case FaultKind::kSlowNetwork:
      fleet.conditions.max_delay = milliseconds(2500);
      return;
  }
}

void EndFault(Fleet& fleet, const Fault& fault, std::size_t node) {
  switch (fault.kind) {
    case FaultKind::kDrain:
      fleet.Kill(node);
      return fleet.Start(node);
    case FaultKind::kRestart:
      return fleet.Start(node);
    case FaultKind::kPause:
    case FaultKind::kIsolate:
    case FaultKind::kOutboundCut:
    case FaultKind::kInboundCut:
      return;
    default:
      fleet.conditions = Conditions();
  }
}

RC_GTEST_PROP(FleetPropertyTest, HasAtMostOneLeaderAndOneAgainAfterFaults, ()) {
  const auto vms = *rc::gen::inRange<std::size_t>(1, 8);
  LeadershipSettings settings;
  settings.replacement_delay = seconds(2);
  // In a region of more VMs than this limit, the witnesses are few and differ between leaders, as in a large fleet.
  settings.all_witness_limit = *rc::gen::element<std::size_t>(3, 9);
  settings.witness_count = 3;
  const auto seed = *rc::gen::arbitrary<std::uint64_t>();
  const auto faults = *rc::gen::container<std::vector<Fault>>(ArbitraryFault());
  Fleet fleet(vms, {"register-1", "register-2"}, seed, settings);
  for (const Fault& fault : faults) {
    const std::size_t node = fault.node % vms;
    fleet.Schedule(kFaultStart + fault.at, [&fleet, fault, node] { BeginFault(fleet, fault, node); });
    fleet.Schedule(kFaultStart + fault.at + fault.length, [&fleet, fault, node] { EndFault(fleet, fault, node); });
  }
  fleet.RunUntil(kFaultEnd + kRecoveryTime);
  if (fleet.violation) {
    RC_LOG() << *fleet.violation;
  }
  RC_ASSERT(!fleet.violation);
  for (const GroupName& group : fleet.groups) {
    RC_ASSERT(fleet.Leader(group).has_value());
  }
}

}  // namespace

}  // namespace amaranthlane::leadership
