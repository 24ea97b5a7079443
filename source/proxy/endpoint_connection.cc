#include "proxy/endpoint_connection.h"

#include <boost/asio/write.hpp>
#include <utility>

#include "net/address.h"
#include "net/source_address.h"
#include "proxy/socket_options.h"

namespace amaranthlane::proxy {

namespace {

// The largest message that an endpoint may send.
constexpr std::size_t kMaximumFrameBytes = 1U << 20U;

}  // namespace

EndpointConnection::EndpointConnection(boost::asio::io_context& loop, const StatementCodec& codec,
                                       failover::EndpointEntry endpoint)
    : socket(loop), codec(codec), endpoint(std::move(endpoint)) {}

void EndpointConnection::Open(const VmName& who, TimePoint until, Opened callback) {
  this->on_opened = std::move(callback);
  this->deadline = until;
  this->sent_at = BootClock::now();
  const net::Address address = net::ParseAddress(this->endpoint.address);
  const boost::asio::ip::tcp::endpoint target(boost::asio::ip::make_address(address.ip), address.port);
  boost::system::error_code failure;
  net::BindToSourceAddress(this->socket, target.protocol(), failure);
  this->socket.async_connect(target, [self = this->shared_from_this(), who](boost::system::error_code error) {
    if (self->closed) {
      return;
    }
    if (error) {
      self->Fail(ExchangeStatus::kBroken);
      return;
    }
    self->last_heard = BootClock::now();
    SetSocketOptions(self->socket);
    self->Read();
    self->expected = 1;
    self->sending = self->codec.Connect(self->endpoint.group, who, self->endpoint.name);
    boost::asio::async_write(self->socket, boost::asio::buffer(self->sending),
                             [self](boost::system::error_code failed, std::size_t) {
                               if (failed) {
                                 self->Fail(ExchangeStatus::kBroken);
                               }
                             });
  });
}

void EndpointConnection::Exchange(std::string messages, std::size_t count, TimePoint until, Answered callback) {
  this->on_answered = std::move(callback);
  if (this->closed) {
    this->Finish(ExchangeStatus::kBroken);
    return;
  }
  this->sending = std::move(messages);
  this->expected = count;
  this->deadline = until;
  this->sent_at = BootClock::now();
  boost::asio::async_write(this->socket, boost::asio::buffer(this->sending),
                           [self = this->shared_from_this()](boost::system::error_code failed, std::size_t) {
                             if (failed) {
                               self->Fail(ExchangeStatus::kBroken);
                             }
                           });
}

void EndpointConnection::Read() {
  this->socket.async_read_some(boost::asio::buffer(this->chunk),
                               [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
                                 if (self->closed) {
                                   return;
                                 }
                                 if (error) {
                                   self->Fail(ExchangeStatus::kBroken);
                                   return;
                                 }
                                 self->OnBytes(size);
                               });
}

void EndpointConnection::OnBytes(std::size_t size) {
  this->last_heard = BootClock::now();
  this->received.append(this->chunk.data(), size);
  std::size_t used = 0;
  const std::shared_ptr<EndpointConnection> alive = this->shared_from_this();
  while (!this->closed) {
    const std::string_view bytes = this->received;
    const std::string_view rest = bytes.substr(used);
    const std::size_t length = this->codec.FrameLength(rest);
    if (length == 0) {
      if (rest.size() > kMaximumFrameBytes) {
        this->Fail(ExchangeStatus::kBroken);
      }
      break;
    }
    used += length;
    if (!this->TakeFrame(rest.substr(0, length))) {
      this->Fail(ExchangeStatus::kBroken);
    }
  }
  if (this->closed) {
    return;
  }
  this->received.erase(0, used);
  if (this->on_answered && this->expected > 0 && this->answers.size() == this->expected) {
    this->Finish(ExchangeStatus::kAnswered);
  }
  if (!this->closed) {
    this->Read();
  }
}

// Returns false when the message answers nothing that was asked.
bool EndpointConnection::TakeFrame(std::string_view frame) {
  if (this->answers.size() >= this->expected) {
    return false;
  }
  EndpointMessage message = this->codec.ParseEndpointMessage(frame);
  switch (message.kind) {
    case EndpointMessage::Kind::kRow:
      this->current.frames += frame;
      this->current.rows.push_back(std::move(message.row));
      return true;
    case EndpointMessage::Kind::kComplete:
      this->current.frames += frame;
      return true;
    case EndpointMessage::Kind::kFailure:
      this->current.failed = true;
      this->current.code = message.code;
      this->current.text = std::move(message.text);
      if (this->on_opened) {
        const Opened refused = std::exchange(this->on_opened, nullptr);
        const EndpointAnswer refusal = this->current;
        this->Close();
        refused(false, refusal);
      }
      return true;
    case EndpointMessage::Kind::kReady:
      this->current.state = message.state;
      this->current.position = message.position;
      this->answers.push_back(std::exchange(this->current, {}));
      if (this->on_opened) {
        const Opened opened = std::exchange(this->on_opened, nullptr);
        const EndpointAnswer ready = this->answers.front();
        this->answers.clear();
        this->expected = 0;
        this->deadline = kNever;
        opened(true, ready);
      }
      return true;
    case EndpointMessage::Kind::kMalformed:
      return false;
  }
  return false;
}

void EndpointConnection::CheckDeadline(TimePoint now) {
  if (!this->closed && now >= this->deadline) {
    this->Fail(ExchangeStatus::kTimedOut);
  }
}

void EndpointConnection::Fail(ExchangeStatus status) {
  if (this->closed) {
    return;
  }
  const std::shared_ptr<EndpointConnection> alive = this->shared_from_this();
  this->closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (this->on_opened) {
    const Opened refused = std::exchange(this->on_opened, nullptr);
    refused(false, {});
  }
  if (this->on_answered) {
    this->Finish(status);
  }
}

void EndpointConnection::Finish(ExchangeStatus status) {
  const Answered finished = std::exchange(this->on_answered, nullptr);
  std::vector<EndpointAnswer> collected = std::exchange(this->answers, {});
  this->current = {};
  this->expected = 0;
  this->deadline = kNever;
  finished(status, std::move(collected));
}

void EndpointConnection::Close() { this->Fail(ExchangeStatus::kBroken); }

bool EndpointConnection::Closed() const { return this->closed; }

bool EndpointConnection::Busy() const { return this->on_answered || this->on_opened; }

const failover::EndpointEntry& EndpointConnection::Endpoint() const { return this->endpoint; }

TimePoint EndpointConnection::SentAt() const { return this->sent_at; }

TimePoint EndpointConnection::LastHeard() const { return this->last_heard; }

}  // namespace amaranthlane::proxy
