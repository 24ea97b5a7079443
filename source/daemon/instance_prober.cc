#include "daemon/instance_prober.h"

#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "daemon/endpoint_protocol.h"

namespace amaranthlane::daemon {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{100};

}  // namespace

InstanceProber::InstanceProber(boost::asio::io_context& loop, const net::Address& address, ControlTraffic& traffic,
                               Listener listener)
    : loop(loop), address(address), traffic(traffic), listener(std::move(listener)), timer(loop) {}

void InstanceProber::Run(const ProbeMode& mode) {
  this->mode = mode;
  if (!this->started) {
    this->started = true;
    this->Probe();
  }
}

void InstanceProber::Stop() {
  this->stopped = true;
  this->timer.cancel();
  if (this->connection != nullptr) {
    this->connection->Close();
  }
}

void InstanceProber::Probe() {
  if (this->stopped) {
    return;
  }
  if (this->connection == nullptr || !this->connection->Usable()) {
    this->connection = std::make_shared<net::HttpConnection>(this->loop, this->address);
  }
  const TimePoint sent_at = BootClock::now();
  const bool hold = this->mode.long_poll && this->last_offset.has_value();
  const std::chrono::milliseconds max_hold = hold ? this->mode.max_hold : std::chrono::milliseconds(0);
  this->listener.sent(sent_at);
  this->connection->Call(PositionMessage(hold ? this->last_offset : std::nullopt, max_hold),
                         sent_at + max_hold + this->mode.reply_timeout,
                         [self = this->shared_from_this(), sent_at](const net::CallResult& result) {
                           self->traffic.CountCall(kProbeTraffic, result);
                           if (!self->stopped) {
                             self->Finish(sent_at, result);
                           }
                         });
}

void InstanceProber::ScheduleProbe(std::chrono::milliseconds delay) {
  this->timer.expires_after(delay);
  this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
    if (!error) {
      self->Probe();
    }
  });
}

void InstanceProber::Finish(TimePoint sent_at, const net::CallResult& result) {
  try {
    if (result.status == net::CallStatus::kAnswered) {
      const replicas::PositionReply reply =
          replicas::ParsePositionReply(json::Parse(result.response.body, "position answer"));
      this->last_offset = reply.position.offset;
      this->listener.answered(sent_at, reply);
      this->ScheduleProbe(this->mode.long_poll ? std::chrono::milliseconds(0) : this->mode.delay);
      return;
    }
  } catch (const ParseError&) {
    this->connection->Close();
  }
  this->last_offset.reset();
  this->listener.failed(sent_at);
  this->ScheduleProbe(kRetryDelay);
}

}  // namespace amaranthlane::daemon
