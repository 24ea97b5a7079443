#ifndef AMARANTHLANE_CORE_LEADERSHIP_RECORD_H_
#define AMARANTHLANE_CORE_LEADERSHIP_RECORD_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "core/types.h"

// The platform's object `leadership/<group>`: the leader of a database group, its successors, and its witnesses.
namespace amaranthlane::leadership {

// Numbers the leaderships of a group in the order in which the platform's conditional updates recorded them.
using Epoch = std::uint64_t;

// One process on one VM. A restarted process is another holder.
struct Holder {
  VmName vm;
  Incarnation incarnation = 0;

  auto operator<=>(const Holder&) const = default;
};

// A claim to lead a group: rank 0 belongs to the leader that the epoch's record names, rank N to its Nth successor. A
// higher ballot supersedes a lower one.
struct Ballot {
  Epoch epoch = 0;
  std::uint32_t rank = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): the linter takes a zero in the generated code for a pointer.
  auto operator<=>(const Ballot&) const = default;
};

// An earlier epoch whose holders may still be valid. A majority of its witnesses has to close it before a later holder
// may lead.
struct UnclosedEpoch {
  Epoch epoch = 0;
  std::vector<VmName> witnesses;

  bool operator==(const UnclosedEpoch&) const = default;
};

// The value of the platform's object.
struct LeadershipRecord {
  Epoch epoch = 0;
  Holder leader;
  // In the order in which they may take over.
  std::vector<VmName> successors;
  std::vector<VmName> witnesses;
  // In ascending order of epochs; empty once the leader has closed them all.
  std::vector<UnclosedEpoch> unclosed;
  // Identifies the update that wrote this value, so that its writer recognises it when the reply was lost.
  std::string update_id;
  // True: the leader gave up the group in an orderly shutdown and no longer acts as leader.
  bool released = false;

  bool operator==(const LeadershipRecord&) const = default;
};

// The smallest number of witnesses that is a majority of `count`.
constexpr std::size_t Majority(std::size_t count) { return count / 2 + 1; }

// Throws ParseError when `value` isn't a leadership record.
LeadershipRecord ParseLeadershipRecord(const nlohmann::json& value);
nlohmann::json ToJson(const LeadershipRecord& record);

// Throws ParseError when `value` isn't a holder.
Holder ParseHolder(const nlohmann::json& value);
nlohmann::json ToJson(const Holder& holder);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_RECORD_H_
