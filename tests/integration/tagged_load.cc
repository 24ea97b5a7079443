#include "integration/tagged_load.h"

#include <utility>

namespace amaranthlane::testing {

namespace {

using Json = nlohmann::json;

constexpr char kBearer[] = "Bearer fixture-key";
constexpr char kTarget[] = "/v1/groups/group-1/statements";
// Time that a caller waits for the response beyond the request's time limit.
constexpr std::chrono::milliseconds kResponseMargin{2000};
constexpr std::chrono::milliseconds kRetryDelay{20};
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

bool TaggedLoad::AwaitDone(std::uint64_t count, std::chrono::milliseconds timeout) const {
  const std::uint64_t target = this->done + count;
  return FleetFixture::Await([this, target] { return this->done >= target; }, timeout);
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
  JsonClient client(this->fleet.DirectCallersPort(vm), this->options.time_limit + kResponseMargin);
  const auto time_limit_ms = this->options.time_limit.count();
  for (std::uint64_t round = 0; !this->stopping; ++round) {
    const std::string key = name + "-" + std::to_string(round);
    const std::string value = "value of " + key;
    const Json put{{"op", "put"}, {"key", key}, {"value", value}};
    const Json write{{"kind", "order"}, {"mode", "write"}, {"statement", put}, {"time_limit_ms", time_limit_ms}};
    const Exchange written = this->Execute(client, key + " write", write, {{"Idempotency-Key", key}});
    if (written.done) {
      this->CheckWrite(key, written.body, value);
    }
    const Json get{{"op", "get"}, {"key", key}};
    const Json read{
        {"kind", this->options.read_kind}, {"mode", "read"}, {"statement", get}, {"time_limit_ms", time_limit_ms}};
    std::vector<HttpHeader> headers;
    if (!written.session_token.empty()) {
      headers.push_back({"Session-Token", written.session_token});
    }
    const Exchange read_result = this->Execute(client, key + " read", read, headers);
    if (read_result.done) {
      this->CheckRead(key, read_result.body, value, written.done);
    }
    std::this_thread::sleep_for(written.responded ? this->options.request_interval : kRetryDelay);
  }
}

TaggedLoad::Exchange TaggedLoad::Execute(JsonClient& client, const std::string& request_name, const Json& body,
                                         const std::vector<HttpHeader>& headers) {
  std::vector<HttpHeader> all_headers = {{"Authorization", kBearer}};
  all_headers.insert(all_headers.end(), headers.begin(), headers.end());
  Exchange exchange;
  try {
    const HttpResponse response = client.Call("POST", kTarget, body, all_headers);
    exchange.responded = true;
    exchange.done =
        response.status == kStatusOk && response.body.is_object() && response.body.value("outcome", "") == "done";
    exchange.body = response.body;
    exchange.session_token = response.Header("Session-Token");
    const std::lock_guard lock(this->mutex);
    if (exchange.done) {
      ++this->done;
    } else if (response.body.is_object() && response.body.contains("outcome")) {
      ++(response.body.at("outcome") == "not_run" ? this->report.not_run : this->report.unknown);
      this->report.not_done_responses.push_back(request_name + ": " + response.text);
    } else {
      this->report.unanswered.push_back(request_name + ": status " + std::to_string(response.status) + " " +
                                        response.text);
    }
  } catch (const HttpCallError& failure) {
    if (!failure.refused) {
      const std::lock_guard lock(this->mutex);
      this->report.unanswered.push_back(request_name + ": " + failure.what());
    }
  }
  return exchange;
}

void TaggedLoad::CheckRead(const std::string& request_name, const Json& body, const std::string& value, bool written) {
  const bool has_value = body.contains("result") && body.at("result").contains("value");
  const Json read_result = has_value ? body.at("result").at("value") : Json("no value");
  if (read_result != value && (written || !read_result.is_null())) {
    const std::lock_guard lock(this->mutex);
    this->report.misdelivered.push_back(request_name + " read: " + body.dump());
  }
}

void TaggedLoad::CheckWrite(const std::string& request_name, const Json& body, const std::string& value) {
  const bool has_value = body.contains("result") && body.at("result").contains("value");
  if (!has_value || body.at("result").at("value") != value) {
    const std::lock_guard lock(this->mutex);
    this->report.misdelivered.push_back(request_name + " write: " + body.dump());
  }
}

}  // namespace amaranthlane::testing
