#include "stand_ins/endpoint/replica_puller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "stand_ins/common/http_server.h"

namespace amaranthlane::stand_ins {

namespace {

constexpr std::chrono::milliseconds kLongPollWait(500);
constexpr std::chrono::milliseconds kPullTimeout(800);
constexpr std::chrono::milliseconds kRetryDelay(20);
constexpr unsigned kOk = 200;
constexpr const char* kLogMismatch = "urn:amaranthlane:log-mismatch";

}  // namespace

ReplicaPuller::ReplicaPuller(boost::asio::io_context& io, FreezableExecutor& executor, Instance& instance,
                             boost::asio::ip::address source_address, std::function<void()> on_log_changed)
    : io(io),
      executor(executor),
      instance(instance),
      source_address(std::move(source_address)),
      on_log_changed(std::move(on_log_changed)),
      retry_timer(io),
      apply_timer(io) {}

void ReplicaPuller::Restart() {
  ++this->generation;
  this->pending.clear();
  this->retry_timer.cancel();
  this->apply_timer.cancel();
  if (this->client) {
    this->client->Cancel();
    this->client = nullptr;
  }
  if (!this->instance.IsPrimary()) {
    this->Pull();
  }
}

void ReplicaPuller::SetLag(std::chrono::milliseconds lag) {
  this->lag = lag;
  const TimePoint latest = BootClock::now() + lag;
  for (PendingEntry& entry : this->pending) {
    entry.apply_at = std::min(entry.apply_at, latest);
  }
  this->ScheduleApply();
}

void ReplicaPuller::Pull() {
  if (!this->client) {
    this->client =
        std::make_shared<HttpClient>(this->io, ParseAddress(this->instance.PrimaryAddress()), this->source_address);
  }
  const Position received = this->ReceivedPosition();
  const std::string target =
      "/v1/log?after_term=" + std::to_string(received.term) + "&after=" + std::to_string(received.offset) +
      "&term=" + std::to_string(this->instance.Term()) + "&wait_ms=" + std::to_string(kLongPollWait.count());
  this->client->Get(target, kPullTimeout,
                    [this, generation = this->generation](const std::optional<HttpResponse>& response) {
                      this->executor.Run([this, generation, response] {
                        if (generation == this->generation) {
                          this->OnResponse(response);
                        }
                      });
                    });
}

void ReplicaPuller::RetryLater() {
  this->retry_timer.expires_after(kRetryDelay);
  this->retry_timer.async_wait([this, generation = this->generation](boost::system::error_code) {
    this->executor.Run([this, generation] {
      if (generation == this->generation) {
        this->Pull();
      }
    });
  });
}

void ReplicaPuller::OnResponse(const std::optional<HttpResponse>& response) {
  if (!response) {
    this->client->Cancel();
    this->client = nullptr;
    this->RetryLater();
    return;
  }
  try {
    if (response->status == kOk) {
      this->QueueEntries(ParseLogResponse(response->body));
      this->Pull();
      return;
    }
    this->OnMismatch(response->body);
  } catch (const Error&) {
    this->RetryLater();
  }
}

void ReplicaPuller::OnMismatch(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "problem");
  const json::ObjectReader reader(value, "problem");
  const std::uint64_t own_offset = this->ReceivedPosition().offset;
  if (reader.String("type") != kLogMismatch || own_offset == 0) {
    this->RetryLater();
    return;
  }
  // Entries beyond the primary's last offset can't match, so they are removed at once; the others are removed one by
  // one until an entry matches.
  const std::uint64_t keep_offset = std::min(own_offset - 1, reader.Unsigned("last_offset"));
  this->pending.clear();
  this->instance.TruncateLog(keep_offset);
  this->on_log_changed();
  this->Pull();
}

void ReplicaPuller::QueueEntries(LogResponse response) {
  this->instance.MarkSynced();
  const TimePoint apply_at = BootClock::now() + this->lag;
  for (LogEntry& entry : response.entries) {
    this->pending.push_back({std::move(entry), apply_at});
  }
  this->ApplyDueEntries();
}

void ReplicaPuller::ApplyDueEntries() {
  const TimePoint now = BootClock::now();
  bool any_applied = false;
  while (!this->pending.empty() && this->pending.front().apply_at <= now) {
    this->instance.ApplyReplicatedEntry(std::move(this->pending.front().entry));
    this->pending.pop_front();
    any_applied = true;
  }
  if (any_applied) {
    this->on_log_changed();
  }
  this->ScheduleApply();
}

void ReplicaPuller::ScheduleApply() {
  if (this->pending.empty()) {
    return;
  }
  this->apply_timer.expires_after(this->pending.front().apply_at - BootClock::now());
  this->apply_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->executor.Run([this] { this->ApplyDueEntries(); });
    }
  });
}

Position ReplicaPuller::ReceivedPosition() const {
  Position last = this->instance.GetLog().LastPosition();
  if (!this->pending.empty()) {
    last.offset += this->pending.size();
    last.term = this->pending.back().entry.term;
  }
  return last;
}

}  // namespace amaranthlane::stand_ins
