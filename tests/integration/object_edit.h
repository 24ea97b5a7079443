#ifndef AMARANTHLANE_TESTS_INTEGRATION_OBJECT_EDIT_H_
#define AMARANTHLANE_TESTS_INTEGRATION_OBJECT_EDIT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "integration/fleet_fixture.h"

namespace amaranthlane::testing {

// How soon an accepted edit is in force on every VM, and a leaving endpoint gets no new work.
inline constexpr std::chrono::milliseconds kInForceTimeout{2000};

// The answer to an operator's edit.
struct EditResponse {
  unsigned status = 0;
  nlohmann::json body;
  // The version that the edit was given; 0 when it wasn't accepted.
  std::uint64_t version = 0;
  TimePoint received_at;
};

// Writes an object through a VM's operators' interface on condition of the version that this VM holds.
EditResponse EditObject(FleetFixture& fleet, std::size_t vm, const std::string& kind, const std::string& name,
                        const nlohmann::json& value);
// The version of an object that a VM holds; 0 when it holds none.
std::uint64_t HeldVersion(FleetFixture& fleet, std::size_t vm, const std::string& kind, const std::string& name);

// The value of the selector of the kind `note`.
nlohmann::json NoteSelector(bool idempotent);
// Changes whether writes of the kind `note` are idempotent.
EditResponse EditNote(FleetFixture& fleet, std::size_t vm, bool idempotent);
// Whether a caller at the VM is refused a write of the kind `note` without a key, as one that isn't idempotent is.
bool NoteNeedsKey(FleetFixture& fleet, std::size_t vm);

// Sets the state of one endpoint in the object of the group.
EditResponse SetEndpointState(FleetFixture& fleet, std::size_t vm, std::size_t endpoint, const std::string& state);
// How many statements the endpoint has run.
std::uint64_t StatementsRun(FleetFixture& fleet, std::size_t endpoint);

// All VMs of the fleet by number.
std::vector<std::size_t> AllVms(const FleetFixture& fleet);

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_OBJECT_EDIT_H_
