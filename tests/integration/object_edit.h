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

// Time within which an accepted edit must be in force on every VM, and a leaving endpoint must get no new work.
inline constexpr std::chrono::milliseconds kInForceTimeout{2000};

// The response to an operator's edit.
struct EditResponse {
  unsigned status = 0;
  nlohmann::json body;
  // The version assigned to the edit; 0 when it was not accepted.
  std::uint64_t version = 0;
  TimePoint received_at;
};

// Writes an object through a VM's operators' interface, with the version that this VM holds as the expected version.
EditResponse EditObject(FleetFixture& fleet, std::size_t vm, const std::string& kind, const std::string& name,
                        const nlohmann::json& value);
// The version of an object that a VM holds; 0 when it holds none.
std::uint64_t HeldVersion(FleetFixture& fleet, std::size_t vm, const std::string& kind, const std::string& name);

// Returns the value of the selector for the kind `note`.
nlohmann::json NoteSelector(bool idempotent);
// Sets whether writes of the kind `note` are idempotent.
EditResponse EditNote(FleetFixture& fleet, std::size_t vm, bool idempotent);
// Whether the VM rejects a write of the kind `note` without an idempotency key, as it must while the kind is not
// idempotent.
bool NoteNeedsKey(FleetFixture& fleet, std::size_t vm);

// Sets the state of one endpoint in the object of the database group.
EditResponse SetEndpointState(FleetFixture& fleet, std::size_t vm, std::size_t endpoint, const std::string& state);
// The number of statements that the endpoint has run.
std::uint64_t StatementsRun(FleetFixture& fleet, std::size_t endpoint);

// The numbers of all VMs of the fleet.
std::vector<std::size_t> AllVms(const FleetFixture& fleet);

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_OBJECT_EDIT_H_
