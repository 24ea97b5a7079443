#include "integration/outcome_ledger.h"

#include <algorithm>
#include <map>
#include <thread>
#include <utility>

namespace amaranthlane::testing {

namespace {

using Json = nlohmann::json;

constexpr std::size_t kMostRows = 10000;

std::map<std::string, Json> ReadCounters(FleetFixture& fleet, const std::string& prefix) {
  CallerStatement statement;
  statement.kind = "exact";
  statement.mode = "read";
  statement.statement = Json{{"op", "list"}, {"prefix", prefix}, {"limit", kMostRows}};
  CallerAnswer answer;
  const bool answered = FleetFixture::Await([&] {
    for (std::size_t vm = 1; vm <= fleet.VmCount() && answer.outcome != "done"; ++vm) {
      answer = fleet.Vm(vm).Running() ? fleet.Execute(vm, statement) : CallerAnswer{};
    }
    return answer.outcome == "done";
  });
  if (!answered) {
    throw ProcessError("fleet", "no VM reads the counters");
  }
  std::map<std::string, Json> counters;
  for (const Json& row : answer.body.at("result").at("rows")) {
    counters[row.at("key")] = row.at("value");
  }
  return counters;
}

// Whether the told outcome can be true of a request that ran `runs` times.
bool IsTrue(const std::string& outcome, int runs) {
  if (outcome == "done") {
    return runs == 1;
  }
  return outcome == "not_run" ? runs == 0 : runs <= 1;
}

}  // namespace

OutcomeLedger::OutcomeLedger(FleetFixture& fleet, std::string prefix) : fleet(fleet), prefix(std::move(prefix)) {}

CallerAnswer OutcomeLedger::Add(std::size_t vm, std::chrono::milliseconds limit) {
  std::string counter;
  {
    const std::lock_guard lock(this->mutex);
    counter = this->prefix + "-" + std::to_string(this->next++);
  }
  CallerAnswer answer = this->fleet.Add(vm, counter, "key-" + counter, limit);
  const std::lock_guard lock(this->mutex);
  this->rows.push_back({counter, answer});
  return answer;
}

void OutcomeLedger::AddAtOnce(std::size_t count, const std::vector<std::size_t>& vms, std::chrono::milliseconds limit) {
  std::vector<std::jthread> callers;
  for (std::size_t index = 0; index < count; ++index) {
    callers.emplace_back([this, vm = vms[index % vms.size()], limit] { this->Add(vm, limit); });
  }
}

std::size_t OutcomeLedger::Told(const std::string& outcome) const {
  const std::lock_guard lock(this->mutex);
  const auto told = std::count_if(this->rows.begin(), this->rows.end(),
                                  [&](const Row& row) { return row.answer.outcome == outcome; });
  return static_cast<std::size_t>(told);
}

std::string OutcomeLedger::Contradictions() {
  const std::map<std::string, Json> counters = ReadCounters(this->fleet, this->prefix + "-");
  const std::lock_guard lock(this->mutex);
  std::string found;
  for (const Row& row : this->rows) {
    const auto counter = counters.find(row.counter);
    const int runs = counter == counters.end() ? 0 : counter->second.get<int>();
    if (!IsTrue(row.answer.outcome, runs)) {
      found += row.counter + " was told " + row.answer.outcome + " (" + row.answer.problem + ") and ran " +
               std::to_string(runs) + " times\n";
    }
  }
  return found;
}

}  // namespace amaranthlane::testing
