#include "proxy/relayed_session.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "common/error.h"
#include "logging/log.h"
#include "net/address.h"
#include "net/source_address.h"
#include "proxy/socket_options.h"

namespace amaranthlane::proxy {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{250};
// How long an answer is awaited beyond the statement's timeout, which the gateway enforces.
constexpr std::chrono::milliseconds kAnswerGracePeriod{400};

}  // namespace

RelayedSession::RelayedSession(boost::asio::ip::tcp::socket socket, SessionContext& context, std::string initial_bytes,
                               std::vector<gateways::FleetVm> gateways, const Route& route)
    : caller(std::move(socket)),
      gateway(this->caller.get_executor()),
      timer(this->caller.get_executor()),
      context(context),
      initial_bytes(std::move(initial_bytes)),
      gateways(std::move(gateways)),
      database(route.database),
      statement_timeout(route.statement_timeout) {}

void RelayedSession::Start() { this->TryNextGateway(); }

void RelayedSession::TryNextGateway() {
  if (this->gateways.empty()) {
    this->ServeLocally();
    return;
  }
  ++this->attempt;
  const net::Address address = net::ParseAddress(this->gateways.front().relay_address);
  this->noticed_version = this->gateways.front().accepts_notices ? std::optional<std::uint64_t>(0) : std::nullopt;
  this->gateways.erase(this->gateways.begin());
  const boost::asio::ip::tcp::endpoint target(boost::asio::ip::make_address(address.ip), address.port);
  boost::system::error_code failure;
  this->gateway = boost::asio::ip::tcp::socket(this->caller.get_executor());
  net::BindToSourceAddress(this->gateway, target.protocol(), failure);
  this->timer.expires_after(kConnectTimeout);
  this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
    if (!error && !self->connected && !self->closed) {
      boost::system::error_code ignored;
      self->gateway.close(ignored);
    }
  });
  this->gateway.async_connect(target, [self = this->shared_from_this()](boost::system::error_code error) {
    if (self->closed) {
      return;
    }
    if (error) {
      self->TryNextGateway();
      return;
    }
    self->connected = true;
    self->timer.cancel();
    SetSocketOptions(self->gateway);
    self->from_caller.reader.emplace(self->context.Codec(), NoticePolicy::kReject);
    self->from_gateway.reader.emplace(self->context.Codec(),
                                      self->noticed_version ? NoticePolicy::kAccept : NoticePolicy::kReject);
    self->unanswered = 0;
    self->from_caller.reader->Append(self->initial_bytes);
    self->opening_bytes = self->NextNotice();
    self->opening_bytes += self->TakeCallerMessages();
    // If statements follow the opening, another gateway must not get the same bytes, and the caller's further bytes are
    // forwarded without waiting for the answer to the opening.
    self->opened = self->unanswered > 1;
    boost::asio::async_write(
        self->gateway, boost::asio::buffer(self->opening_bytes),
        [self, current = self->attempt, forward_caller = self->opened](boost::system::error_code failed, std::size_t) {
          if (current != self->attempt) {
            return;
          }
          if (failed) {
            self->OnGatewayFailed("the gateway closed the connection");
          } else if (forward_caller) {
            self->ForwardFromCaller();
          }
        });
    self->ForwardFromGateway();
  });
}

void RelayedSession::ServeLocally() {
  this->closed = true;
  this->context.ServeLocally(std::move(this->caller), std::move(this->initial_bytes));
}

void RelayedSession::ForwardFromCaller() {
  if (this->reading_from_caller) {
    return;
  }
  this->reading_from_caller = true;
  this->caller.async_read_some(
      boost::asio::buffer(this->from_caller.read_buffer),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
        self->reading_from_caller = false;
        if (error || self->closed) {
          self->Close();
          return;
        }
        if (self->graceful_close) {
          self->OnBytesWhileClosing(std::string_view(self->from_caller.read_buffer.data(), size));
          return;
        }
        if (self->sending_last_answer) {
          self->ForwardFromCaller();
          return;
        }
        self->from_caller.reader->Append(std::string_view(self->from_caller.read_buffer.data(), size));
        if (self->HoldsCallerMessages()) {
          self->holding_messages = true;
          self->EndBetweenAnswers();
          return;
        }
        self->ForwardToGateway();
      });
}

void RelayedSession::ForwardToGateway() {
  const std::string messages = this->TakeCallerMessages();
  if (this->from_caller.reader->TooLarge()) {
    // Nothing more is read from the caller.
    this->EndBetweenAnswers();
  }
  if (messages.empty()) {
    if (!this->from_caller.reader->TooLarge()) {
      this->ForwardFromCaller();
    }
    return;
  }
  this->gateway_write_buffer = this->NextNotice() + messages;
  boost::asio::async_write(this->gateway, boost::asio::buffer(this->gateway_write_buffer),
                           [self = this->shared_from_this()](boost::system::error_code failed, std::size_t) {
                             if (!self->graceful_close && (failed || self->closed)) {
                               self->OnGatewayFailed("the gateway closed the connection");
                             } else if (!self->from_caller.reader->TooLarge()) {
                               self->ForwardFromCaller();
                             }
                           });
}

bool RelayedSession::HoldsCallerMessages() const {
  const bool gateway_closes = this->mid_answer && this->unanswered == 0;
  return !this->closing_reason.empty() && this->opened && !gateway_closes &&
         this->transaction_status == statements::TransactionStatus::kIdle;
}

void RelayedSession::ReleaseHeldMessages() {
  if (this->holding_messages && !this->HoldsCallerMessages()) {
    this->holding_messages = false;
    this->ForwardToGateway();
  }
}

void RelayedSession::ForwardFromGateway() {
  this->gateway.async_read_some(
      boost::asio::buffer(this->from_gateway.read_buffer),
      [self = this->shared_from_this(), current = this->attempt](boost::system::error_code error, std::size_t size) {
        if (current != self->attempt) {
          return;
        }
        if (error || self->closed) {
          self->OnGatewayFailed("the gateway closed the connection");
          return;
        }
        const std::vector<GatewayMessage> messages =
            self->TakeGatewayMessages(std::string_view(self->from_gateway.read_buffer.data(), size));
        if (self->RefusedAsUnknownDatabase(messages)) {
          self->OnGatewayFailed("the gateway does not know the database");
          return;
        }
        if (self->from_gateway.reader->TooLarge() || !AreForwardable(messages)) {
          self->OnGatewayFailed("the gateway sent a malformed message");
          return;
        }
        if (messages.empty()) {
          self->ForwardFromGateway();
          return;
        }
        self->forwarded_messages.clear();
        for (const GatewayMessage& message : messages) {
          self->CountGatewayMessage(message.parsed);
          self->forwarded_messages += message.bytes;
        }
        self->writing_to_caller = true;
        boost::asio::async_write(self->caller, boost::asio::buffer(self->forwarded_messages),
                                 [self](boost::system::error_code failed, std::size_t) {
                                   self->writing_to_caller = false;
                                   // While the caller was slow, nothing was read from the gateway.
                                   self->unanswered_since = BootClock::now();
                                   if (failed || self->closed) {
                                     self->Close();
                                     return;
                                   }
                                   if (self->EndBetweenAnswers()) {
                                     return;
                                   }
                                   self->ReleaseHeldMessages();
                                   self->ForwardFromGateway();
                                 });
      });
}

std::string RelayedSession::NextNotice() {
  const KnownConfiguration& newest = this->context.NewestConfiguration();
  if (!this->noticed_version || newest.version <= *this->noticed_version) {
    return {};
  }
  this->noticed_version = newest.version;
  return EncodeRelayNotice(newest);
}

std::string RelayedSession::TakeCallerMessages() {
  std::string messages;
  while (const std::optional<Frame> frame = this->from_caller.reader->Next()) {
    const CallerMessage message = this->context.Codec().ParseCallerMessage(frame->bytes);
    // The end of the session has no answer.
    this->unanswered += std::holds_alternative<CloseSession>(message) ? 0 : 1;
    if (this->unanswered == 1) {
      this->unanswered_since = BootClock::now();
    }
    const auto* malformed = std::get_if<MalformedMessage>(&message);
    if (malformed != nullptr) {
      this->context.ReportRejectedMessage(this->database, statements::FailureCode::kMalformed, malformed->reason);
    }
    messages += malformed != nullptr ? this->context.Codec().EncodeMalformedMessage() : frame->bytes;
  }
  return messages;
}

std::vector<RelayedSession::GatewayMessage> RelayedSession::TakeGatewayMessages(std::string_view bytes) {
  this->from_gateway.reader->Append(bytes);
  std::vector<GatewayMessage> messages;
  while (std::optional<Frame> frame = this->from_gateway.reader->Next()) {
    if (frame->kind == Frame::Kind::kNotice) {
      this->OnNotice(frame->bytes);
    } else {
      EndpointMessage parsed = this->context.Codec().ParseEndpointMessage(frame->bytes);
      messages.push_back({std::move(frame->bytes), std::move(parsed)});
    }
  }
  return messages;
}

void RelayedSession::OnNotice(std::string_view notice) {
  try {
    const KnownConfiguration known = ParseRelayNotice(notice);
    this->noticed_version = std::max(*this->noticed_version, known.version);
    this->context.LearnConfiguration(known);
  } catch (const ParseError& failure) {
    logging::Write(logging::Level::kWarning, "malformed notice from a gateway", {{"why", failure.what()}});
  }
}

// A gateway that doesn't know the database has another configuration than the one by which this VM relays the session.
// If it is older, another gateway may serve the session; if it is newer, this VM refuses the session itself once it has
// that configuration.
bool RelayedSession::RefusedAsUnknownDatabase(const std::vector<GatewayMessage>& messages) const {
  return !this->opened && !messages.empty() && messages.front().parsed.kind == EndpointMessage::Kind::kFailure &&
         messages.front().parsed.code == statements::FailureCode::kUnknownDatabase;
}

bool RelayedSession::AreForwardable(const std::vector<GatewayMessage>& messages) {
  return std::none_of(messages.begin(), messages.end(), [](const GatewayMessage& message) {
    return message.parsed.kind == EndpointMessage::Kind::kUnforwardable ||
           message.parsed.kind == EndpointMessage::Kind::kMalformed;
  });
}

void RelayedSession::CountGatewayMessage(const EndpointMessage& message) {
  this->mid_answer = message.kind != EndpointMessage::Kind::kReady;
  if (message.kind != EndpointMessage::Kind::kReady) {
    return;
  }
  this->transaction_status = message.state;
  this->unanswered -= this->unanswered > 0 ? 1 : 0;
  this->unanswered_since = BootClock::now();
  if (!std::exchange(this->opened, true)) {
    this->ForwardFromCaller();
  }
}

bool RelayedSession::BetweenAnswers() const { return !this->mid_answer && this->from_gateway.reader->Empty(); }

void RelayedSession::OnGatewayFailed(const std::string& reason) {
  if (this->closed || this->sending_last_answer) {
    return;
  }
  boost::system::error_code ignored;
  this->gateway.close(ignored);
  if (this->writing_to_caller) {
    // The caller gets whole answers first. Reading from the gateway fails when they have been written.
    return;
  }
  // The caller would take a failure in the middle of an answer for the rest of that answer.
  const bool between_answers = this->BetweenAnswers();
  if (between_answers && !this->opened) {
    this->connected = false;
    this->TryNextGateway();
  } else if (between_answers && this->unanswered > 0) {
    this->AnswerOutcomeUnknown(reason);
  } else {
    this->Close();
  }
}

// The gateway may have run the statement that it did not answer.
void RelayedSession::AnswerOutcomeUnknown(const std::string& reason) {
  this->SendLastAnswer(statements::FailureCode::kOutcomeUnknown, reason);
}

void RelayedSession::RejectIncompleteMessage(statements::FailureCode code, const std::string& reason) {
  ++this->attempt;
  boost::system::error_code ignored;
  this->gateway.close(ignored);
  this->SendLastAnswer(code, reason);
}

void RelayedSession::SendLastAnswer(statements::FailureCode code, const std::string& reason) {
  this->sending_last_answer = true;
  StatementReport report;
  report.kind = "relay";
  report.outcome = statements::FailureCodeName(code);
  report.reason = reason;
  report.failed = true;
  this->context.OnStatementFinished(report);
  this->caller_write_buffer = this->context.Codec().EncodeFailure(code, reason) +
                              this->context.Codec().EncodeReady(statements::TransactionStatus::kIdle);
  boost::asio::async_write(this->caller, boost::asio::buffer(this->caller_write_buffer),
                           [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                             if (error) {
                               self->Close();
                             } else {
                               self->Linger();
                             }
                           });
}

void RelayedSession::Linger() {
  if (this->closed) {
    return;
  }
  this->linger_deadline = BootClock::now() + kLingerTimeout;
  boost::system::error_code ignored;
  this->caller.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  this->ForwardFromCaller();
}

void RelayedSession::UpdateStatementTimeout() {
  const Configuration* configuration = this->context.CurrentConfiguration();
  if (configuration == nullptr) {
    return;
  }
  const auto route = configuration->routes.find(this->database);
  if (route != configuration->routes.end()) {
    this->statement_timeout = route->second.statement_timeout;
  }
}

void RelayedSession::Tick(TimePoint now) {
  if (this->closed) {
    return;
  }
  if (now >= this->linger_deadline) {
    this->Close();
    return;
  }
  this->UpdateStatementTimeout();
  if (this->graceful_close) {
    if (!this->writing_to_caller && now >= this->graceful_close_deadline) {
      this->Close();
    }
  } else if (this->connected && this->unanswered > 0 && !this->writing_to_caller &&
             now > this->unanswered_since + this->statement_timeout + kAnswerGracePeriod) {
    this->OnGatewayFailed("the gateway did not answer in time");
  } else if (this->connected && now >= this->from_caller.reader->MalformedDeadline()) {
    this->EndBetweenAnswers();
  }
}

bool RelayedSession::CloseWhenIdle(const std::string& reason) {
  this->closing_reason = reason;
  this->EndBetweenAnswers();
  return this->closed;
}

bool RelayedSession::EndBetweenAnswers() {
  if (this->closed || this->sending_last_answer || !this->connected || this->unanswered > 0) {
    return this->closed || this->sending_last_answer;
  }
  // The gateway may be closing the session gracefully itself.
  if (!this->BetweenAnswers() || this->writing_to_caller) {
    return false;
  }
  if (this->from_caller.reader->TooLarge()) {
    this->RejectIncompleteMessage(statements::FailureCode::kTooLarge, "message exceeds 1 MiB");
    return true;
  }
  if (BootClock::now() >= this->from_caller.reader->MalformedDeadline()) {
    this->RejectIncompleteMessage(statements::FailureCode::kMalformed, "control character in a message without an end");
    return true;
  }
  if (this->transaction_status != statements::TransactionStatus::kIdle) {
    if (this->abort_requested) {
      // The gateway rolls back an open transaction when its connection ends.
      this->Close();
    }
    return this->closed;
  }
  if (this->closing_reason.empty()) {
    return false;
  }
  ++this->attempt;
  this->sending_last_answer = true;
  boost::system::error_code ignored;
  this->gateway.close(ignored);
  this->graceful_close.emplace(this->context, this->closing_reason, std::move(*this->from_caller.reader));
  this->SendWhileClosing(this->graceful_close->CloseNotice() + this->graceful_close->OnBytes({}));
  if (std::exchange(this->holding_messages, false) && !this->graceful_close->Done()) {
    // Nothing was read from the caller since.
    this->ForwardFromCaller();
  }
  return true;
}

void RelayedSession::OnBytesWhileClosing(std::string_view bytes) {
  this->SendWhileClosing(this->graceful_close->OnBytes(bytes));
  if (!this->graceful_close->Done()) {
    this->ForwardFromCaller();
  }
}

void RelayedSession::SendWhileClosing(const std::string& bytes) {
  this->pending_output += bytes;
  if (this->writing_to_caller) {
    return;
  }
  this->writing_to_caller = true;
  this->caller_write_buffer = std::exchange(this->pending_output, {});
  boost::asio::async_write(this->caller, boost::asio::buffer(this->caller_write_buffer),
                           [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                             self->writing_to_caller = false;
                             self->graceful_close_deadline = BootClock::now() + kGracefulCloseTimeout;
                             if (!error && !self->pending_output.empty()) {
                               self->SendWhileClosing({});
                             } else if (error || self->graceful_close->Done()) {
                               self->Close();
                             }
                           });
}

void RelayedSession::AbortTransaction(const std::string& /*reason*/) {
  this->abort_requested = true;
  this->EndBetweenAnswers();
}

void RelayedSession::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  boost::system::error_code ignored;
  this->timer.cancel();
  this->caller.close(ignored);
  this->gateway.close(ignored);
}

bool RelayedSession::Closed() const { return this->closed; }

}  // namespace amaranthlane::proxy
