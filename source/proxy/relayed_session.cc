#include "proxy/relayed_session.h"

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
// Takes the place of the first byte of a caller's message that begins as a notice does. No valid message begins with
// it.
constexpr char kNoMessage = '?';
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
    self->from_caller.partial_message.clear();
    self->from_gateway.partial_message.clear();
    self->unanswered = 0;
    const std::string notice = self->NextNotice();
    self->opening_bytes = notice + self->CountCallerMessages(self->initial_bytes);
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
  this->caller.async_read_some(
      boost::asio::buffer(this->from_caller.read_buffer),
      [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
        if (error || self->closed) {
          self->Close();
          return;
        }
        if (self->graceful_close) {
          self->OnBytesWhileClosing(std::string_view(self->from_caller.read_buffer.data(), size));
          return;
        }
        const std::string_view bytes(self->from_caller.read_buffer.data(), size);
        if (self->HoldsCallerMessages()) {
          self->held_messages.append(bytes);
          self->EndBetweenAnswers();
          return;
        }
        self->ForwardToGateway(bytes);
      });
}

void RelayedSession::ForwardToGateway(std::string_view bytes) {
  const std::string notice = this->NextNotice();
  this->gateway_write_buffer = notice + this->CountCallerMessages(bytes);
  boost::asio::async_write(this->gateway, boost::asio::buffer(this->gateway_write_buffer),
                           [self = this->shared_from_this()](boost::system::error_code failed, std::size_t) {
                             if (!self->graceful_close && (failed || self->closed)) {
                               self->OnGatewayFailed("the gateway closed the connection");
                             } else {
                               self->ForwardFromCaller();
                             }
                           });
}

bool RelayedSession::HoldsCallerMessages() const {
  const bool gateway_closes = this->mid_answer && this->unanswered == 0;
  return !this->closing_reason.empty() && this->opened && !gateway_closes &&
         this->from_caller.partial_message.empty() && this->transaction_status == statements::TransactionStatus::kIdle;
}

void RelayedSession::ReleaseHeldMessages() {
  if (!this->held_messages.empty() && !this->HoldsCallerMessages()) {
    this->ForwardToGateway(std::exchange(this->held_messages, {}));
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
        self->forwarded_messages =
            self->TakeGatewayMessages(std::string_view(self->from_gateway.read_buffer.data(), size));
        if (self->RefusedAsUnknownDatabase(self->forwarded_messages)) {
          self->OnGatewayFailed("the gateway does not know the database");
          return;
        }
        if (self->forwarded_messages.empty()) {
          self->ForwardFromGateway();
          return;
        }
        self->CountGatewayMessages(self->forwarded_messages);
        self->writing_to_caller = true;
        boost::asio::async_write(self->caller, boost::asio::buffer(self->forwarded_messages),
                                 [self](boost::system::error_code failed, std::size_t) {
                                   self->writing_to_caller = false;
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
  if (!this->noticed_version || newest.version <= *this->noticed_version ||
      !this->from_caller.partial_message.empty()) {
    return {};
  }
  this->noticed_version = newest.version;
  return EncodeRelayNotice(newest);
}

std::string RelayedSession::TakeGatewayMessages(std::string_view bytes) {
  std::string& input = this->from_gateway.partial_message;
  input.append(bytes);
  std::string messages;
  std::size_t length = 0;
  while (!input.empty()) {
    const bool notice = this->noticed_version && BeginsWithRelayNotice(input);
    length = notice ? RelayNoticeLength(input) : this->context.Codec().FrameLength(input);
    if (length == 0) {
      break;
    }
    if (notice) {
      this->OnNotice(std::string_view{input}.substr(0, length));
    } else {
      messages.append(input, 0, length);
    }
    input.erase(0, length);
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
bool RelayedSession::RefusedAsUnknownDatabase(std::string_view messages) const {
  const std::size_t length = this->context.Codec().FrameLength(messages);
  if (this->opened || length == 0) {
    return false;
  }
  const EndpointMessage message = this->context.Codec().ParseEndpointMessage(messages.substr(0, length));
  return message.kind == EndpointMessage::Kind::kFailure && message.code == statements::FailureCode::kUnknownDatabase;
}

std::string RelayedSession::CountCallerMessages(std::string_view bytes) {
  std::string forwarded(bytes);
  std::string& message = this->from_caller.partial_message;
  message.append(bytes);
  std::size_t length = 0;
  do {
    message.erase(0, length);
    this->unanswered += length > 0 ? 1 : 0;
    if (length > 0 && this->unanswered == 1) {
      this->unanswered_since = BootClock::now();
    }
    if (BeginsWithRelayNotice(message)) {
      // The gateway refuses the message as malformed, as it would without the relay.
      message.front() = kNoMessage;
      forwarded.at(forwarded.size() - message.size()) = kNoMessage;
    }
    length = this->context.Codec().FrameLength(message);
  } while (length > 0);
  return forwarded;
}

void RelayedSession::CountGatewayMessages(std::string_view messages) {
  std::size_t length = 0;
  while ((length = this->context.Codec().FrameLength(messages)) > 0) {
    const EndpointMessage message = this->context.Codec().ParseEndpointMessage(messages.substr(0, length));
    messages.remove_prefix(length);
    this->mid_answer = message.kind != EndpointMessage::Kind::kReady;
    if (message.kind == EndpointMessage::Kind::kReady) {
      this->transaction_status = message.state;
      this->unanswered -= this->unanswered > 0 ? 1 : 0;
      this->unanswered_since = BootClock::now();
      if (!std::exchange(this->opened, true)) {
        this->ForwardFromCaller();
      }
    }
  }
}

void RelayedSession::OnGatewayFailed(const std::string& reason) {
  if (this->closed || this->sending_last_answer) {
    return;
  }
  boost::system::error_code ignored;
  this->gateway.close(ignored);
  // The caller would take a failure in the middle of an answer for the rest of that answer.
  const bool between_answers = !this->mid_answer && this->from_gateway.partial_message.empty();
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
  this->sending_last_answer = true;
  StatementReport report;
  report.kind = "relay";
  report.outcome = statements::FailureCodeName(statements::FailureCode::kOutcomeUnknown);
  report.reason = reason;
  report.failed = true;
  this->context.OnStatementFinished(report);
  this->caller_write_buffer = this->context.Codec().EncodeFailure(statements::FailureCode::kOutcomeUnknown, reason) +
                              this->context.Codec().EncodeReady(statements::TransactionStatus::kIdle);
  boost::asio::async_write(
      this->caller, boost::asio::buffer(this->caller_write_buffer),
      [self = this->shared_from_this()](boost::system::error_code, std::size_t) { self->Close(); });
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
  this->UpdateStatementTimeout();
  if (this->graceful_close) {
    if (!this->writing_to_caller && now >= this->graceful_close_deadline) {
      this->Close();
    }
  } else if (this->connected && this->unanswered > 0 &&
             now > this->unanswered_since + this->statement_timeout + kAnswerGracePeriod) {
    this->OnGatewayFailed("the gateway did not answer in time");
  }
}

bool RelayedSession::CloseWhenIdle(const std::string& reason) {
  this->closing_reason = reason;
  this->EndBetweenAnswers();
  return this->closed;
}

bool RelayedSession::EndBetweenAnswers() {
  // The gateway may be closing the session gracefully itself.
  const bool between_answers =
      !this->mid_answer && !this->writing_to_caller && this->from_gateway.partial_message.empty();
  if (this->closed || this->sending_last_answer || !this->connected || this->unanswered > 0 || !between_answers) {
    return this->closed || this->sending_last_answer;
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
  this->graceful_close.emplace(this->context, this->closing_reason);
  // The gateway has received at most a part of a message, which it can't run.
  const std::string held = std::exchange(this->held_messages, {});
  this->SendWhileClosing(this->graceful_close->CloseNotice() +
                         this->graceful_close->OnBytes(this->from_caller.partial_message + held));
  if (!held.empty() && !this->graceful_close->Done()) {
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
