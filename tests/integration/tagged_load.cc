#include "integration/tagged_load.h"

#include <utility>

namespace amaranthlane::testing {

namespace {

using Json = nlohmann::json;

constexpr char kBearer[] = "Bearer fixture-key";
constexpr char kTarget[] = "/v1/groups/group-1/statements";
// How much longer than its time limit a caller waits for an answer.
constexpr std::chrono::milliseconds kAnswerMargin{2000};
constexpr std::chrono::milliseconds kRefusedPause{20};
constexpr unsigned kStatusOk = 200;

}  // namespace

TaggedLoad::TaggedLoad(const FleetFixture& fleet, const LoadOptions& options) : fleet(fleet), options(options) {
  for (const std::size_t vm : options.vms) {
    for (std::size_t caller = 0; caller < options.callers_per_vm; ++caller) {
      this->threads.emplace_back([this, vm, caller] { this->RunCaller(vm, caller); });
    }
  }
}

TaggedLoad::~TaggedLoad() { this->Stop(); }

std::uint64_t TaggedLoad::Done() const { return this->done; }

bool TaggedLoad::AwaitDone(std::uint64_t count, std::chrono::milliseconds limit) const {
  const std::uint64_t target = this->done + count;
  return FleetFixture::Await([this, target] { return this->done >= target; }, limit);
}

LoadReport TaggedLoad::Stop() {
  this->stopping = true;
  for (std::thread& thread : this->threads) {
    thread.join();
  }
  this->threads.clear();
  this->report.done = this->done;
  return this->report;
}

void TaggedLoad::RunCaller(std::size_t vm, std::size_t caller) {
  const std::string name = "vm-" + std::to_string(vm) + "-caller-" + std::to_string(caller);
  JsonClient client(this->fleet.DirectCallersPort(vm), this->options.limit + kAnswerMargin);
  const auto limit = this->options.limit.count();
  for (std::uint64_t turn = 0; !this->stopping; ++turn) {
    const std::string key = name + "-" + std::to_string(turn);
    const std::string value = "value of " + key;
    const Json put{{"op", "put"}, {"key", key}, {"value", value}};
    const Json write{{"kind", "order"}, {"mode", "write"}, {"statement", put}, {"time_limit_ms", limit}};
    const Exchange written = this->Execute(client, key + " write", write, {{"Idempotency-Key", key}});
    if (written.done) {
      this->CheckWrite(key, written.body, value);
    }
    const Json get{{"op", "get"}, {"key", key}};
    const Json read{{"kind", this->options.read_kind}, {"mode", "read"}, {"statement", get}, {"time_limit_ms", limit}};
    std::vector<HttpHeader> headers;
    if (!written.session_token.empty()) {
      headers.push_back({"Session-Token", written.session_token});
    }
    const Exchange seen = this->Execute(client, key + " read", read, headers);
    if (seen.done) {
      this->CheckRead(key, seen.body, value, written.done);
    }
    std::this_thread::sleep_for(written.answered ? this->options.pause : kRefusedPause);
  }
}

TaggedLoad::Exchange TaggedLoad::Execute(JsonClient& client, const std::string& place, const Json& body,
                                         const std::vector<HttpHeader>& headers) {
  std::vector<HttpHeader> all = {{"Authorization", kBearer}};
  all.insert(all.end(), headers.begin(), headers.end());
  Exchange exchange;
  try {
    const HttpAnswer answer = client.Call("POST", kTarget, body, all);
    exchange.answered = true;
    exchange.done = answer.status == kStatusOk && answer.body.is_object() && answer.body.value("outcome", "") == "done";
    exchange.body = answer.body;
    exchange.session_token = answer.Header("Session-Token");
    const std::lock_guard lock(this->mutex);
    if (exchange.done) {
      ++this->done;
    } else if (answer.body.is_object() && answer.body.contains("outcome")) {
      ++(answer.body.at("outcome") == "not_run" ? this->report.not_run : this->report.unknown);
      this->report.refusals.push_back(place + ": " + answer.text);
    } else {
      this->report.unanswered.push_back(place + ": status " + std::to_string(answer.status) + " " + answer.text);
    }
  } catch (const HttpCallError& failure) {
    if (!failure.refused) {
      const std::lock_guard lock(this->mutex);
      this->report.unanswered.push_back(place + ": " + failure.what());
    }
  }
  return exchange;
}

void TaggedLoad::CheckRead(const std::string& place, const Json& body, const std::string& value, bool written) {
  const bool has_value = body.contains("result") && body.at("result").contains("value");
  const Json seen = has_value ? body.at("result").at("value") : Json("no value");
  if (seen != value && (written || !seen.is_null())) {
    const std::lock_guard lock(this->mutex);
    this->report.foreign.push_back(place + " read: " + body.dump());
  }
}

void TaggedLoad::CheckWrite(const std::string& place, const Json& body, const std::string& value) {
  const bool has_value = body.contains("result") && body.at("result").contains("value");
  if (!has_value || body.at("result").at("value") != value) {
    const std::lock_guard lock(this->mutex);
    this->report.foreign.push_back(place + " write: " + body.dump());
  }
}

}  // namespace amaranthlane::testing
