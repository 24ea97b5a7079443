#include "integration/outcome_checker.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

namespace amaranthlane::testing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxRows = 10000;

std::map<std::string, Json> ReadCounters(FleetFixture& fleet, const std::string& prefix) {
  CallerStatement statement;
  statement.kind = "exact";
  statement.mode = "read";
  statement.statement = Json{{"op", "list"}, {"prefix", prefix}, {"limit", kMaxRows}};
  CallerResponse response;
  const bool found = FleetFixture::Await([&] {
    for (std::size_t vm = 1; vm <= fleet.VmCount() && response.outcome != "done"; ++vm) {
      response = fleet.Vm(vm).Running() ? fleet.Execute(vm, statement) : CallerResponse{};
    }
    return response.outcome == "done";
  });
  if (!found) {
    throw ProcessError("fleet", "no VM could read the counters within 10 s");
  }
  std::map<std::string, Json> counters;
  for (const Json& record : response.body.at("result").at("rows")) {
    counters[record.at("key")] = record.at("value");
  }
  return counters;
}

// Whether the reported outcome is possible for a request that was applied `runs` times.
bool IsConsistent(const std::string& outcome, int runs) {
  if (outcome == "done") {
    return runs == 1;
  }
  return outcome == "not_run" ? runs == 0 : runs <= 1;
}

}  // namespace

OutcomeChecker::OutcomeChecker(FleetFixture& fleet, std::string prefix) : fleet(fleet), prefix(std::move(prefix)) {}

CallerResponse OutcomeChecker::Add(std::size_t vm, std::chrono::milliseconds time_limit) {
  std::string counter;
  {
    const std::lock_guard lock(this->mutex);
    counter = this->prefix + "-" + std::to_string(this->next_counter++);
  }
  CallerResponse response = this->fleet.Add(vm, counter, "key-" + counter, time_limit);
  const std::lock_guard lock(this->mutex);
  this->records.push_back({counter, response});
  return response;
}

void OutcomeChecker::AddAtOnce(std::size_t count, const std::vector<std::size_t>& vms,
                               std::chrono::milliseconds time_limit) {
  std::vector<std::jthread> callers;
  for (std::size_t index = 0; index < count; ++index) {
    callers.emplace_back([this, vm = vms[index % vms.size()], time_limit] { this->Add(vm, time_limit); });
  }
}

std::size_t OutcomeChecker::CountOutcome(const std::string& outcome) const {
  const std::lock_guard lock(this->mutex);
  const auto matching = std::count_if(this->records.begin(), this->records.end(),
                                      [&](const Record& record) { return record.response.outcome == outcome; });
  return static_cast<std::size_t>(matching);
}

std::string OutcomeChecker::Contradictions() {
  const std::map<std::string, Json> counters = ReadCounters(this->fleet, this->prefix + "-");
  const std::lock_guard lock(this->mutex);
  std::string contradictions;
  for (const Record& record : this->records) {
    const auto counter = counters.find(record.counter);
    const int runs = counter == counters.end() ? 0 : counter->second.get<int>();
    if (!IsConsistent(record.response.outcome, runs)) {
      contradictions += record.counter + " was reported as " + record.response.outcome + " (" +
                        record.response.problem + ") and was applied " + std::to_string(runs) + " times\n";
    }
  }
  return contradictions;
}

}  // namespace amaranthlane::testing
