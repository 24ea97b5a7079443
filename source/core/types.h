#ifndef AMARANTHLANE_CORE_TYPES_H_
#define AMARANTHLANE_CORE_TYPES_H_

#include <array>
#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "common/boot_clock.h"

// Types that all subsystems of the decision library share.
namespace amaranthlane {

// Names are unique within their kind and come from the platform or from settings.
using VmName = std::string;
using EndpointName = std::string;
using GroupName = std::string;

// Identifies one run of a process on a VM. A restarted process gets a new number.
using Incarnation = std::uint64_t;

// The version that the platform assigns to each change of an object. It orders the changes of all objects.
using ObjectVersion = std::uint64_t;

// Counts how often the platform's store was restored from an older copy of itself. Within one era the store loses
// nothing that it has acknowledged.
using StoreEra = std::uint64_t;
// The era of a store that was never restored.
inline constexpr StoreEra kFirstStoreEra = 1;

// A revision of the store. Revisions are given out again after a restore, so eras are compared first.
struct StoreRevision {
  StoreEra era = 0;
  // 0: none.
  ObjectVersion revision = 0;

  // The linter mistakes the zero of a rewritten comparison for a null pointer.
  auto operator<=>(const StoreRevision&) const = default;  // NOLINT(modernize-use-nullptr)
};

// Numbers the successive primaries of a database group. Rises with each change of primary.
using Term = std::uint64_t;

// A position in a database group's log. Terms are compared first, then offsets.
struct LogPosition {
  Term term = 0;
  std::uint64_t offset = 0;

  // The linter mistakes the zero of a rewritten comparison for a null pointer.
  auto operator<=>(const LogPosition&) const = default;  // NOLINT(modernize-use-nullptr)
};

// The priority of work. A lower value is served first.
enum class Rank : std::uint8_t { kUrgent = 0, kNormal = 1, kBulk = 2 };
inline constexpr std::size_t kRankCount = 3;
inline constexpr std::array<Rank, kRankCount> kRanks = {Rank::kUrgent, Rank::kNormal, Rank::kBulk};

std::string_view RankName(Rank rank);
// Throws ParseError when `name` isn't a rank.
Rank ParseRank(std::string_view name);

// When a write counts as acknowledged.
enum class AcknowledgementLevel : std::uint8_t {
  // The primary has it. A failover can lose it.
  kPrimary,
  // At least one replica has it too. It survives the loss of any single endpoint.
  kReplicated,
};

std::string_view AcknowledgementLevelName(AcknowledgementLevel level);
// Throws ParseError when `name` isn't a level.
AcknowledgementLevel ParseAcknowledgementLevel(std::string_view name);

// What is known about a request that has ended.
enum class Outcome : std::uint8_t {
  // It ran and took effect.
  kDone,
  // It certainly did not run and never will.
  kNotRun,
  // It may or may not have run, or may still run. The idempotency key lets the caller find out.
  kUnknown,
};

std::string_view OutcomeName(Outcome outcome);

// What one request requires, resolved from the active selectors at the VM that received it.
struct ServiceRequirements {
  Rank rank = Rank::kNormal;
  // The maximum age of what a read returns. Zero: it must come from the primary.
  Duration max_staleness = Duration::zero();
  AcknowledgementLevel acknowledgement = AcknowledgementLevel::kReplicated;
  // The caller reads its own writes: reads cover the position in its session token.
  bool read_your_writes = true;
  // False: the request must never run twice and needs an idempotency key.
  bool idempotent = false;
  // The total time that the request may take, counted from its arrival at the entry VM.
  Duration time_limit = std::chrono::seconds(5);
  // The share of a group's slots, 0 to 1, that is reserved for this rank while higher ranks have work waiting.
  double floor = 0.0;

  bool operator==(const ServiceRequirements&) const = default;
};

}  // namespace amaranthlane

#endif  // AMARANTHLANE_CORE_TYPES_H_
