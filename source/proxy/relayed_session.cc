#include "proxy/relayed_session.h"

#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

#include "net/address.h"
#include "net/source_address.h"
#include "proxy/socket_options.h"

namespace amaranthlane::proxy {

namespace {

constexpr std::chrono::milliseconds kConnectLimit{250};
// How much longer than the statement's own limit its answer is awaited from the carrier, which ends it by itself.
constexpr std::chrono::milliseconds kAnswerSlack{400};

}  // namespace

RelayedSession::RelayedSession(boost::asio::ip::tcp::socket socket, SessionContext& context, std::string beginning,
                               std::vector<std::string> gateways, Duration statement_limit)
    : caller(std::move(socket)),
      carrier(this->caller.get_executor()),
      timer(this->caller.get_executor()),
      context(context),
      beginning(std::move(beginning)),
      gateways(std::move(gateways)),
      statement_limit(statement_limit) {}

void RelayedSession::Start() { this->TryCarrier(); }

void RelayedSession::TryCarrier() {
  if (this->gateways.empty()) {
    this->ServeHere();
    return;
  }
  ++this->attempt;
  const net::Address address = net::ParseAddress(this->gateways.front());
  this->gateways.erase(this->gateways.begin());
  const boost::asio::ip::tcp::endpoint target(boost::asio::ip::make_address(address.ip), address.port);
  boost::system::error_code failure;
  this->carrier = boost::asio::ip::tcp::socket(this->caller.get_executor());
  net::BindToSourceAddress(this->carrier, target.protocol(), failure);
  this->timer.expires_after(kConnectLimit);
  this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
    if (!error && !self->connected && !self->closed) {
      boost::system::error_code ignored;
      self->carrier.close(ignored);
    }
  });
  this->carrier.async_connect(target, [self = this->shared_from_this()](boost::system::error_code error) {
    if (self->closed) {
      return;
    }
    if (error) {
      self->TryCarrier();
      return;
    }
    self->connected = true;
    self->timer.cancel();
    SetSocketOptions(self->carrier);
    self->from_caller.partial.clear();
    self->from_carrier.partial.clear();
    self->unanswered = 0;
    self->CountFromCaller(self->beginning);
    // With statements behind the opening, it may not be sent twice, and more of the caller's bytes wait for no answer.
    self->opened = self->unanswered > 1;
    boost::asio::async_write(
        self->carrier, boost::asio::buffer(self->beginning),
        [self, current = self->attempt, go_on = self->opened](boost::system::error_code failed, std::size_t) {
          if (current != self->attempt) {
            return;
          }
          if (failed) {
            self->OnCarrierEnded("the carrier broke the connection");
          } else if (go_on) {
            self->PassFromCaller();
          }
        });
    self->PassFromCarrier();
  });
}

void RelayedSession::ServeHere() {
  this->closed = true;
  this->context.ServeHere(std::move(this->caller), std::move(this->beginning));
}

void RelayedSession::PassFromCaller() {
  this->caller.async_read_some(boost::asio::buffer(this->from_caller.chunk),
                               [self = this->shared_from_this()](boost::system::error_code error, std::size_t size) {
                                 if (error || self->closed) {
                                   self->Close();
                                   return;
                                 }
                                 if (self->farewell) {
                                   self->OnFarewellBytes(std::string_view(self->from_caller.chunk.data(), size));
                                   return;
                                 }
                                 self->CountFromCaller(std::string_view(self->from_caller.chunk.data(), size));
                                 boost::asio::async_write(self->carrier,
                                                          boost::asio::buffer(self->from_caller.chunk.data(), size),
                                                          [self](boost::system::error_code failed, std::size_t) {
                                                            if (!self->farewell && (failed || self->closed)) {
                                                              self->OnCarrierEnded("the carrier broke the connection");
                                                            } else {
                                                              self->PassFromCaller();
                                                            }
                                                          });
                               });
}

void RelayedSession::PassFromCarrier() {
  this->carrier.async_read_some(
      boost::asio::buffer(this->from_carrier.chunk),
      [self = this->shared_from_this(), current = this->attempt](boost::system::error_code error, std::size_t size) {
        if (current != self->attempt) {
          return;
        }
        if (error || self->closed) {
          self->OnCarrierEnded("the carrier ended the connection");
          return;
        }
        if (self->RefusedAsUnknown(size)) {
          self->OnCarrierEnded("the carrier doesn't know the database yet");
          return;
        }
        self->CountFromCarrier(size);
        self->writing_to_caller = true;
        boost::asio::async_write(self->caller, boost::asio::buffer(self->from_carrier.chunk.data(), size),
                                 [self](boost::system::error_code failed, std::size_t) {
                                   self->writing_to_caller = false;
                                   if (failed || self->closed) {
                                     self->Close();
                                     return;
                                   }
                                   if (self->abort_wanted && self->unanswered == 0) {
                                     self->Close();
                                     return;
                                   }
                                   self->PassFromCarrier();
                                 });
      });
}

// This VM knows the database, so a carrier that doesn't has an older configuration. Its answer would be a step back.
bool RelayedSession::RefusedAsUnknown(std::size_t size) const {
  if (this->opened || !this->from_carrier.partial.empty()) {
    return false;
  }
  const std::string_view bytes(this->from_carrier.chunk.data(), size);
  const std::size_t length = this->context.Codec().FrameLength(bytes);
  if (length == 0) {
    return false;
  }
  const EndpointMessage message = this->context.Codec().ParseEndpointMessage(bytes.substr(0, length));
  return message.kind == EndpointMessage::Kind::kFailure && message.code == statements::FailureCode::kUnknownDatabase;
}

void RelayedSession::CountFromCaller(std::string_view bytes) {
  Direction& direction = this->from_caller;
  direction.partial.append(bytes);
  std::size_t length = 0;
  while ((length = this->context.Codec().FrameLength(direction.partial)) > 0) {
    direction.partial.erase(0, length);
    if (this->unanswered++ == 0) {
      this->oldest_unanswered = BootClock::now();
    }
  }
}

void RelayedSession::CountFromCarrier(std::size_t size) {
  Direction& direction = this->from_carrier;
  direction.partial.append(direction.chunk.data(), size);
  std::size_t length = 0;
  while ((length = this->context.Codec().FrameLength(direction.partial)) > 0) {
    const EndpointMessage message = this->context.Codec().ParseEndpointMessage(direction.partial.substr(0, length));
    direction.partial.erase(0, length);
    this->mid_answer = message.kind != EndpointMessage::Kind::kReady;
    if (message.kind == EndpointMessage::Kind::kReady) {
      this->state = message.state;
      this->unanswered -= this->unanswered > 0 ? 1 : 0;
      this->oldest_unanswered = BootClock::now();
      if (!std::exchange(this->opened, true)) {
        this->PassFromCaller();
      }
    }
  }
}

void RelayedSession::OnCarrierEnded(const std::string& why) {
  if (this->closed || this->ended) {
    return;
  }
  boost::system::error_code ignored;
  this->carrier.close(ignored);
  // Whatever the caller were told in the middle of an answer would be taken for the rest of it.
  const bool between_answers = !this->mid_answer && this->from_carrier.partial.empty();
  if (between_answers && !this->opened) {
    this->connected = false;
    this->TryCarrier();
  } else if (between_answers && this->unanswered > 0) {
    this->AnswerUnknown(why);
  } else {
    this->Close();
  }
}

// The carrier may have run what it didn't answer.
void RelayedSession::AnswerUnknown(const std::string& why) {
  this->ended = true;
  StatementEnd end;
  end.kind = "relay";
  end.outcome = statements::FailureCodeName(statements::FailureCode::kOutcomeUnknown);
  end.why = why;
  end.failed = true;
  this->context.OnStatementEnd(end);
  this->last_answer = this->context.Codec().Failure(statements::FailureCode::kOutcomeUnknown, why) +
                      this->context.Codec().Ready(statements::TransactionStatus::kIdle);
  boost::asio::async_write(
      this->caller, boost::asio::buffer(this->last_answer),
      [self = this->shared_from_this()](boost::system::error_code, std::size_t) { self->Close(); });
}

void RelayedSession::Tick(TimePoint now) {
  if (this->closed) {
    return;
  }
  if (this->farewell) {
    if (now >= this->farewell_limit) {
      this->Close();
    }
  } else if (this->connected && this->unanswered > 0 &&
             now > this->oldest_unanswered + this->statement_limit + kAnswerSlack) {
    this->OnCarrierEnded("the carrier gave no answer in time");
  }
}

bool RelayedSession::CloseIfIdle(const std::string& why) {
  const bool idle = this->connected && this->unanswered == 0 && this->state == statements::TransactionStatus::kIdle;
  // The carrier may be saying farewell itself.
  const bool between_answers = !this->mid_answer && !this->writing_to_caller && this->from_carrier.partial.empty();
  if (!this->closed && !this->ended && idle && between_answers) {
    ++this->attempt;
    this->ended = true;
    boost::system::error_code ignored;
    this->carrier.close(ignored);
    this->farewell.emplace(this->context, why);
    this->farewell_limit = BootClock::now() + kFarewellLimit;
    // The carrier has a part of a message at most, which it can't run.
    this->SendFarewell(this->farewell->Greeting() + this->farewell->OnBytes(this->from_caller.partial));
  }
  return this->closed;
}

void RelayedSession::OnFarewellBytes(std::string_view bytes) {
  this->SendFarewell(this->farewell->OnBytes(bytes));
  if (!this->farewell->Done()) {
    this->PassFromCaller();
  }
}

void RelayedSession::SendFarewell(const std::string& bytes) {
  this->unsent += bytes;
  if (this->writing_to_caller) {
    return;
  }
  this->writing_to_caller = true;
  this->last_answer = std::exchange(this->unsent, {});
  boost::asio::async_write(this->caller, boost::asio::buffer(this->last_answer),
                           [self = this->shared_from_this()](boost::system::error_code error, std::size_t) {
                             self->writing_to_caller = false;
                             if (!error && !self->unsent.empty()) {
                               self->SendFarewell({});
                             } else if (error || self->farewell->Done()) {
                               self->Close();
                             }
                           });
}

void RelayedSession::AbortTransaction(const std::string& /*why*/) {
  // The carrier rolls back what is open when the connection to it ends.
  this->abort_wanted = true;
  if (!this->closed && this->connected && this->unanswered == 0) {
    this->Close();
  }
}

void RelayedSession::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  boost::system::error_code ignored;
  this->timer.cancel();
  this->caller.close(ignored);
  this->carrier.close(ignored);
}

bool RelayedSession::Closed() const { return this->closed; }

}  // namespace amaranthlane::proxy
