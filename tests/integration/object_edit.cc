#include "integration/object_edit.h"

namespace amaranthlane::testing {

namespace {

using Json = nlohmann::json;

constexpr char kGroupObject[] = "/v1/objects/database_groups/group-1";
constexpr std::chrono::milliseconds kProbeTimeLimit{400};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusBadRequest = 400;

std::string ObjectTarget(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + kind + "/" + name;
}

}  // namespace

EditResponse EditObject(FleetFixture& fleet, std::size_t vm, const std::string& kind, const std::string& name,
                        const Json& value) {
  const Json body{{"expected_version", HeldVersion(fleet, vm, kind, name)}, {"value", value}};
  const HttpResponse http_response = fleet.CallOperators(vm, "PUT", ObjectTarget(kind, name), body);
  EditResponse response;
  response.status = http_response.status;
  response.body = http_response.body;
  response.version = http_response.status == kStatusOk ? http_response.body.at("version").get<std::uint64_t>() : 0;
  response.received_at = BootClock::now();
  return response;
}

std::uint64_t HeldVersion(FleetFixture& fleet, std::size_t vm, const std::string& kind, const std::string& name) {
  const HttpResponse held = fleet.CallOperators(vm, "GET", ObjectTarget(kind, name));
  return held.status == kStatusOk ? held.body.at("version").get<std::uint64_t>() : 0;
}

Json NoteSelector(bool idempotent) {
  return Json{{"priority", 10},
              {"match", Json::array({Json{{"key", "kind.work"}, {"equals", "note"}}})},
              {"owes", Json{{"rank", "normal"}, {"idempotent", idempotent}, {"floor", 0.2}}}};
}

EditResponse EditNote(FleetFixture& fleet, std::size_t vm, bool idempotent) {
  return EditObject(fleet, vm, "selectors", "note", NoteSelector(idempotent));
}

bool NoteNeedsKey(FleetFixture& fleet, std::size_t vm) {
  CallerStatement statement = PutStatement("note", "text", "");
  statement.kind = "note";
  statement.time_limit = kProbeTimeLimit;
  const CallerResponse response = fleet.Execute(vm, statement);
  return response.status == kStatusBadRequest && response.problem == "missing-idempotency-key";
}

EditResponse SetEndpointState(FleetFixture& fleet, std::size_t vm, std::size_t endpoint, const std::string& state) {
  Json value = fleet.CallOperators(vm, "GET", kGroupObject).body.at("value");
  value.at("instances").at(endpoint - 1).at("state") = state;
  return EditObject(fleet, vm, "database_groups", "group-1", value);
}

std::uint64_t StatementsRun(FleetFixture& fleet, std::size_t endpoint) {
  return fleet.ControlEndpoint(endpoint, "GET", "state").body.at("statements_run").get<std::uint64_t>();
}

std::vector<std::size_t> AllVms(const FleetFixture& fleet) {
  std::vector<std::size_t> vms;
  for (std::size_t vm = 1; vm <= fleet.VmCount(); ++vm) {
    vms.push_back(vm);
  }
  return vms;
}

}  // namespace amaranthlane::testing
