#include "stand_ins/endpoint/replica_puller.h"

#include <algorithm>
#include <string>
#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "stand_ins/common/http_server.h"

namespace amaranthlane::stand_ins {

namespace {

constexpr std::chrono::milliseconds kPullWait(500);
constexpr std::chrono::milliseconds kPullTimeout(800);
constexpr std::chrono::milliseconds kRetryDelay(20);
constexpr unsigned kOk = 200;
constexpr const char* kLogMismatch = "urn:amaranthlane:log-mismatch";

}  // namespace

ReplicaPuller::ReplicaPuller(boost::asio::io_context& io, FreezeGate& gate, Instance& instance,
                             boost::asio::ip::address source, std::function<void()> applied)
    : io(io),
      gate(gate),
      instance(instance),
      source(std::move(source)),
      applied(std::move(applied)),
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
    entry.due = std::min(entry.due, latest);
  }
  this->ArmTimer();
}

void ReplicaPuller::Pull() {
  if (!this->client) {
    this->client = std::make_shared<HttpClient>(this->io, ParseAddress(this->instance.PrimaryAddress()), this->source);
  }
  const Position received = this->Received();
  const std::string target =
      "/v1/log?after_term=" + std::to_string(received.term) + "&after=" + std::to_string(received.offset) +
      "&term=" + std::to_string(this->instance.Term()) + "&wait_ms=" + std::to_string(kPullWait.count());
  this->client->Get(target, kPullTimeout,
                    [this, generation = this->generation](const std::optional<ClientAnswer>& answer) {
                      this->gate.Run([this, generation, answer] {
                        if (generation == this->generation) {
                          this->OnAnswer(answer);
                        }
                      });
                    });
}

void ReplicaPuller::RetryLater() {
  this->retry_timer.expires_after(kRetryDelay);
  this->retry_timer.async_wait([this, generation = this->generation](boost::system::error_code) {
    this->gate.Run([this, generation] {
      if (generation == this->generation) {
        this->Pull();
      }
    });
  });
}

void ReplicaPuller::OnAnswer(const std::optional<ClientAnswer>& answer) {
  if (!answer) {
    this->client->Cancel();
    this->client = nullptr;
    this->RetryLater();
    return;
  }
  try {
    if (answer->status == kOk) {
      this->TakeEntries(ParseLogAnswer(answer->body));
      this->Pull();
      return;
    }
    this->OnMismatch(answer->body);
  } catch (const Error&) {
    this->RetryLater();
  }
}

void ReplicaPuller::OnMismatch(const std::string& body) {
  const nlohmann::json value = json::Parse(body, "problem");
  const json::ObjectReader reader(value, "problem");
  const std::uint64_t own_offset = this->Received().offset;
  if (reader.String("type") != kLogMismatch || own_offset == 0) {
    this->RetryLater();
    return;
  }
  // An entry beyond the primary's last can't match; below that they are dropped one by one until one does.
  const std::uint64_t keep = std::min(own_offset - 1, reader.Unsigned("last_offset"));
  this->pending.clear();
  this->instance.DropAfter(keep);
  this->applied();
  this->Pull();
}

void ReplicaPuller::TakeEntries(LogAnswer answer) {
  this->instance.MarkSynced();
  const TimePoint due = BootClock::now() + this->lag;
  for (LogEntry& entry : answer.entries) {
    this->pending.push_back({std::move(entry), due});
  }
  this->ApplyDue();
}

void ReplicaPuller::ApplyDue() {
  const TimePoint now = BootClock::now();
  bool any = false;
  while (!this->pending.empty() && this->pending.front().due <= now) {
    this->instance.ApplyPulled(std::move(this->pending.front().entry));
    this->pending.pop_front();
    any = true;
  }
  if (any) {
    this->applied();
  }
  this->ArmTimer();
}

void ReplicaPuller::ArmTimer() {
  if (this->pending.empty()) {
    return;
  }
  this->apply_timer.expires_after(this->pending.front().due - BootClock::now());
  this->apply_timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->gate.Run([this] { this->ApplyDue(); });
    }
  });
}

Position ReplicaPuller::Received() const {
  Position last = this->instance.OwnLog().Last();
  if (!this->pending.empty()) {
    last.offset += this->pending.size();
    last.term = this->pending.back().entry.term;
  }
  return last;
}

}  // namespace amaranthlane::stand_ins
