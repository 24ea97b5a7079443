#include "proxy/endpoint_connection.h"

#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "logging/log.h"
#include "net/address.h"
#include "net/source_address.h"
#include "proxy/socket_options.h"

namespace amaranthlane::proxy {

EndpointConnection::EndpointConnection(boost::asio::io_context& loop, const StatementCodec& codec,
                                       failover::EndpointEntry endpoint)
    : socket(loop), codec(codec), endpoint(std::move(endpoint)), reader(codec, NoticePolicy::kReject) {}

void EndpointConnection::Open(const std::string& new_identity, TimePoint new_deadline, OpenCallback callback) {
  this->identity = new_identity;
  this->open_callback = std::move(callback);
  this->deadline = new_deadline;
  this->sent_at = BootClock::now();
  const net::Address address = net::ParseAddress(this->endpoint.address);
  const boost::asio::ip::tcp::endpoint target(boost::asio::ip::make_address(address.ip), address.port);
  boost::system::error_code failure;
  net::BindToSourceAddress(this->socket, target.protocol(), failure);
  this->socket.async_connect(target, [self = this->shared_from_this()](boost::system::error_code error) {
    if (self->closed) {
      return;
    }
    if (error) {
      self->refused = error == boost::asio::error::connection_refused;
      self->Fail(ExchangeStatus::kBroken);
      return;
    }
    self->last_received_at = BootClock::now();
    SetSocketOptions(self->socket);
    self->Read();
    self->expected_answers = 1;
    self->write_buffer = self->codec.EncodeConnect(self->endpoint.group, self->identity, self->endpoint.name);
    boost::asio::async_write(self->socket, boost::asio::buffer(self->write_buffer),
                             [self](boost::system::error_code failed, std::size_t) {
                               if (failed) {
                                 self->Fail(ExchangeStatus::kBroken);
                               }
                             });
  });
}

void EndpointConnection::Exchange(std::string messages, std::size_t count, TimePoint new_deadline,
                                  AnswerCallback callback) {
  this->answer_callback = std::move(callback);
  if (this->closed) {
    this->Finish(ExchangeStatus::kBroken);
    return;
  }
  this->write_buffer = std::move(messages);
  this->expected_answers = count;
  this->deadline = new_deadline;
  this->sent_at = BootClock::now();
  boost::asio::async_write(this->socket, boost::asio::buffer(this->write_buffer),
                           [self = this->shared_from_this()](boost::system::error_code failed, std::size_t) {
                             if (failed) {
                               self->Fail(ExchangeStatus::kBroken);
                             }
                           });
}

void EndpointConnection::Read() {
  this->socket.async_read_some(boost::asio::buffer(this->read_buffer),
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
  this->last_received_at = BootClock::now();
  this->reader.Append(std::string_view(this->read_buffer.data(), size));
  const std::shared_ptr<EndpointConnection> alive = this->shared_from_this();
  while (const std::optional<Frame> frame = this->reader.Next()) {
    const bool awaited = this->answers.size() < this->expected_answers;
    if (!this->HandleFrame(frame->bytes)) {
      logging::Write(logging::Level::kWarning, "closing a connection to an endpoint because of its message",
                     {{"endpoint", this->endpoint.name},
                      {"why", awaited ? "the message is malformed" : "no statement awaits an answer"},
                      {"message_bytes", frame->bytes.size()}});
      this->Fail(ExchangeStatus::kBroken);
    }
    if (this->closed) {
      return;
    }
  }
  if (this->reader.TooLarge()) {
    this->Fail(ExchangeStatus::kBroken);
    return;
  }
  const bool complete =
      this->answer_callback && this->expected_answers > 0 && this->answers.size() == this->expected_answers;
  const bool awaiting = this->open_callback || (this->answer_callback && !complete);
  if (!awaiting && !this->reader.Empty()) {
    // What has arrived belongs to no answer, and would be read as part of the next one.
    logging::Write(logging::Level::kWarning, "closing a connection to an endpoint because of its message",
                   {{"endpoint", this->endpoint.name}, {"why", "a part of a message that no statement awaits"}});
    this->closed = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }
  if (complete) {
    this->Finish(ExchangeStatus::kAnswered);
  }
  if (!this->closed) {
    this->Read();
  }
}

// Returns false when the message is malformed or no answer is expected.
bool EndpointConnection::HandleFrame(std::string_view frame) {
  if (this->answers.size() >= this->expected_answers) {
    return false;
  }
  EndpointMessage message = this->codec.ParseEndpointMessage(frame);
  if (this->current_answer.ended && message.kind != EndpointMessage::Kind::kReady) {
    return false;
  }
  switch (message.kind) {
    case EndpointMessage::Kind::kRow:
      this->current_answer.frames += frame;
      this->current_answer.rows.push_back(std::move(message.row));
      return true;
    case EndpointMessage::Kind::kComplete:
      this->current_answer.frames += frame;
      this->current_answer.ended = true;
      return true;
    case EndpointMessage::Kind::kUnforwardable:
      this->current_answer.failed = true;
      this->current_answer.permanent = true;
      this->current_answer.code = statements::FailureCode::kFailed;
      this->current_answer.text = "the answer holds a control character";
      return true;
    case EndpointMessage::Kind::kFailure:
      this->current_answer.failed = true;
      this->current_answer.ended = true;
      this->current_answer.code = message.code;
      this->current_answer.text = std::move(message.text);
      if (this->open_callback) {
        const OpenCallback callback = std::exchange(this->open_callback, nullptr);
        const EndpointAnswer refusal = this->current_answer;
        this->Close();
        callback(false, refusal);
      }
      return true;
    case EndpointMessage::Kind::kReady:
      if (!this->open_callback && !this->current_answer.ended && !this->current_answer.failed) {
        return false;
      }
      this->current_answer.state = message.state;
      this->current_answer.position = message.position;
      this->answers.push_back(std::exchange(this->current_answer, {}));
      if (this->open_callback) {
        const OpenCallback callback = std::exchange(this->open_callback, nullptr);
        const EndpointAnswer ready = this->answers.front();
        this->answers.clear();
        this->expected_answers = 0;
        this->deadline = kNever;
        callback(true, ready);
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
  if (this->open_callback) {
    const OpenCallback callback = std::exchange(this->open_callback, nullptr);
    callback(false, {});
  }
  if (this->answer_callback) {
    this->Finish(status);
  }
}

void EndpointConnection::Finish(ExchangeStatus status) {
  const AnswerCallback callback = std::exchange(this->answer_callback, nullptr);
  std::vector<EndpointAnswer> collected = std::exchange(this->answers, {});
  this->current_answer = {};
  this->expected_answers = 0;
  this->deadline = kNever;
  callback(status, std::move(collected));
}

void EndpointConnection::Close() { this->Fail(ExchangeStatus::kBroken); }

bool EndpointConnection::Closed() const { return this->closed; }

bool EndpointConnection::Refused() const { return this->refused; }

bool EndpointConnection::Busy() const { return this->answer_callback || this->open_callback; }

const failover::EndpointEntry& EndpointConnection::Endpoint() const { return this->endpoint; }

const std::string& EndpointConnection::Identity() const { return this->identity; }

TimePoint EndpointConnection::SentAt() const { return this->sent_at; }

TimePoint EndpointConnection::LastReceivedAt() const { return this->last_received_at; }

}  // namespace amaranthlane::proxy
