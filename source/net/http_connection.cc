#include "net/http_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <boost/asio/detail/socket_option.hpp>
#include <string>
#include <utility>

#include "logging/log.h"
#include "net/source_address.h"

namespace amaranthlane::net {

namespace {

namespace http = boost::beast::http;
using UserTimeoutOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr unsigned kHttpVersion = 11;
constexpr std::uint64_t kMaxBodyBytes = 16ULL << 20;
// For calls with a later deadline, or none.
constexpr std::chrono::milliseconds kMaxTransmissionTime{60'000};

// A response whose body stops arriving for this long has failed.
constexpr std::chrono::milliseconds kBodyProgressTimeout{1500};

HttpResponse ToResponse(http::response<ReceivedBody> message) {
  HttpResponse response;
  response.status = message.result_int();
  response.content_type = message[http::field::content_type].to_string();
  for (const auto& field : message) {
    if (!IsFramingHeader(field.name_string().to_string())) {
      response.headers.push_back(HttpHeader{field.name_string().to_string(), field.value().to_string()});
    }
  }
  response.body = std::move(message.body().text);
  return response;
}

}  // namespace

HttpConnection::HttpConnection(boost::asio::io_context& loop, const Address& address)
    : socket(loop), timer(loop), target(boost::asio::ip::make_address(address.ip), address.port) {}

void HttpConnection::Call(HttpRequest request, TimePoint deadline, Callback callback, BodySink sink) {
  if (this->Busy() || !this->Usable()) {
    if (!this->Busy()) {
      this->Close();
    }
    callback(CallResult{CallStatus::kNotSent, {}});
    return;
  }
  if (const std::optional<MessagePart> invalid = FindInvalidPart(request)) {
    logging::Write(logging::Level::kError, "not sending a request with an invalid part",
                   {{"part", MessagePartName(*invalid)},
                    {"method", request.method},
                    {"target", request.target},
                    {"peer", this->target.address().to_string()}});
    callback(CallResult{CallStatus::kNotSent, {}});
    return;
  }
  this->callback = std::move(callback);
  this->sink = std::move(sink);
  this->write_started = false;
  this->sent_bytes = 0;
  this->received_bytes = 0;
  this->outgoing = {};
  this->outgoing.version(kHttpVersion);
  this->outgoing.method_string(request.method);
  this->outgoing.target(request.target);
  for (const HttpHeader& header : request.headers) {
    this->outgoing.set(header.name, header.value);
  }
  this->outgoing.set(http::field::host, this->target.address().to_string());
  if (!request.body.empty()) {
    this->outgoing.set(http::field::content_type, "application/json");
  }
  this->outgoing.body() = std::move(request.body);
  this->outgoing.prepare_payload();
  this->deadline = deadline;
  this->ArmTimer(deadline);
  if (this->connected) {
    this->Write();
  } else {
    this->Connect();
  }
}

void HttpConnection::Close() {
  if (this->HasUnrequestedBytes()) {
    logging::Write(logging::Level::kWarning, "closing a connection whose peer sent bytes that no request awaits",
                   {{"peer", this->target.address().to_string()}, {"port", this->target.port()}});
  }
  if (!this->closed) {
    this->Finish(this->write_started ? CallStatus::kBroken : CallStatus::kNotSent, {});
  }
}

bool HttpConnection::Busy() const { return static_cast<bool>(this->callback); }

bool HttpConnection::Usable() const { return !this->closed && !this->HasUnrequestedBytes(); }

bool HttpConnection::HasUnrequestedBytes() const {
  if (this->Busy() || this->closed || !this->connected) {
    return false;
  }
  boost::system::error_code ignored;
  return this->socket.available(ignored) > 0;
}

void HttpConnection::Connect() {
  boost::system::error_code failure;
  BindToSourceAddress(this->socket, this->target.protocol(), failure);
  if (failure) {
    this->Finish(CallStatus::kNotSent, {});
    return;
  }
  this->socket.async_connect(this->target, [self = this->shared_from_this()](boost::system::error_code error) {
    if (self->closed) {
      return;
    }
    if (error) {
      self->refused = error == boost::asio::error::connection_refused;
      self->Finish(CallStatus::kNotSent, {});
      return;
    }
    self->connected = true;
    boost::system::error_code ignored;
    self->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    self->ResetOnClose();
    self->Write();
  });
}

void HttpConnection::ResetOnClose() {
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
}

void HttpConnection::LimitTransmission() {
  const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(this->deadline - BootClock::now());
  const auto limit = std::clamp(remaining, std::chrono::milliseconds(1), kMaxTransmissionTime);
  boost::system::error_code ignored;
  this->socket.set_option(UserTimeoutOption(static_cast<int>(limit.count())), ignored);
}

void HttpConnection::Write() {
  // The timer may be late, for example after the process was suspended.
  if (BootClock::now() >= this->deadline) {
    this->Finish(CallStatus::kNotSent, {});
    return;
  }
  this->LimitTransmission();
  this->write_started = true;
  http::async_write(this->socket, this->outgoing,
                    [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                      if (self->closed) {
                        return;
                      }
                      if (error) {
                        self->Finish(CallStatus::kBroken, {});
                        return;
                      }
                      self->sent_bytes = bytes;
                      self->Read();
                    });
}

void HttpConnection::Read() {
  this->incoming.emplace();
  if (this->sink) {
    this->incoming->body_limit(boost::none);
    this->incoming->get().body().sink = [this](std::string_view part) {
      // A part that was read when the connection was closed belongs to no call.
      if (this->sink) {
        this->deadline = std::max(this->deadline, BootClock::now() + kBodyProgressTimeout);
        this->sink(part);
      }
    };
  } else {
    this->incoming->body_limit(kMaxBodyBytes);
  }
  http::async_read(this->socket, this->buffer, *this->incoming,
                   [self = this->shared_from_this()](boost::system::error_code error, std::size_t bytes) {
                     if (self->closed) {
                       return;
                     }
                     if (error) {
                       self->Finish(CallStatus::kBroken, {});
                       return;
                     }
                     self->received_bytes = bytes;
                     self->Finish(CallStatus::kAnswered, ToResponse(self->incoming->release()));
                   });
}

void HttpConnection::ArmTimer(TimePoint deadline) {
  // Re-arming the timer for each call would cost more than the call's own bookkeeping. A timer that expires no later
  // than the new deadline is kept; when it fires, OnTimer re-arms it.
  if (this->timer_armed && this->timer.expiry() <= std::chrono::steady_clock::now() + (deadline - BootClock::now())) {
    return;
  }
  this->timer_armed = true;
  this->timer.expires_after(deadline - BootClock::now());
  this->timer.async_wait([weak = this->weak_from_this()](boost::system::error_code error) {
    const std::shared_ptr<HttpConnection> self = weak.lock();
    if (!error && self != nullptr) {
      self->OnTimer();
    }
  });
}

void HttpConnection::OnTimer() {
  this->timer_armed = false;
  if (!this->Busy() || this->closed) {
    return;
  }
  if (BootClock::now() < this->deadline) {
    this->ArmTimer(this->deadline);
    return;
  }
  this->Finish(this->write_started ? CallStatus::kTimedOut : CallStatus::kNotSent, {});
}

void HttpConnection::Finish(CallStatus status, HttpResponse response) {
  // Surplus bytes after the response belong to no request, so later data on this connection cannot be matched to
  // requests.
  const bool reusable = status == CallStatus::kAnswered && this->incoming->keep_alive() && this->buffer.size() == 0;
  if (!reusable) {
    this->closed = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->timer.cancel();
  }
  if (!this->callback) {
    return;
  }
  const Callback completed_callback = std::exchange(this->callback, nullptr);
  this->sink = nullptr;
  completed_callback(CallResult{status, std::move(response), this->sent_bytes, this->received_bytes, this->refused});
}

}  // namespace amaranthlane::net
