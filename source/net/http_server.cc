#include "net/http_server.h"

#include <utility>
// RESTinio and Boost.Asio 1.74 use std::exchange without including <utility> themselves.
#include <atomic>
#include <restinio/all.hpp>
#include <string>

#include "logging/log.h"
#include "net/error.h"

namespace amaranthlane::net {

namespace {

// Connection state listener of RESTinio that counts the open connections.
class ConnectionCounter {
 public:
  void state_changed(const restinio::connection_state::notice_t& notice) noexcept {  // NOLINT: RESTinio's name
    if (restinio::holds_alternative<restinio::connection_state::accepted_t>(notice.cause())) {
      ++this->open;
    } else if (restinio::holds_alternative<restinio::connection_state::closed_t>(notice.cause())) {
      --this->open;
    }
  }

  std::atomic<std::size_t> open = 0;
};

struct ServerTraits : public restinio::default_single_thread_traits_t {
  using connection_state_listener_t = ConnectionCounter;      // NOLINT: RESTinio's name
  static constexpr bool use_connection_count_limiter = true;  // NOLINT: RESTinio's name
  using request_handler_t = std::function<restinio::request_handling_status_t(restinio::request_handle_t)>;  // NOLINT
};

constexpr int kListenBacklog = 1024;
constexpr unsigned kInternalServerError = 500;
constexpr double kRefusalLinesPerSecond = 1;
constexpr double kMaxRefusalLines = 10;
constexpr std::size_t kReadBufferBytes = 2048;
// Interval at which the timeouts of all open connections are checked. Each check costs time for every connection,
// including idle ones.
constexpr std::chrono::seconds kTimeoutCheckInterval{10};

HttpRequest ToRequest(const restinio::request_t& incoming) {
  HttpRequest request;
  request.method = std::string(incoming.header().method().c_str());
  request.target = incoming.header().request_target();
  request.headers.reserve(incoming.header().fields_count());
  incoming.header().for_each_field([&request](const restinio::http_header_field_t& field) {
    request.headers.push_back(HttpHeader{field.name(), field.value()});
  });
  request.body = incoming.body();
  return request;
}

// Returns the response, or one with status 500 in place of a response with an invalid part.
HttpResponse WithValidParts(HttpResponse response) {
  const std::optional<MessagePart> invalid = FindInvalidPart(response);
  if (!invalid) {
    return response;
  }
  logging::Write(logging::Level::kError, "replacing a response with an invalid part",
                 {{"part", MessagePartName(*invalid)}, {"status", response.status}});
  return HttpResponse{kInternalServerError, {}, "text/plain", "the response has an invalid header"};
}

}  // namespace

class HttpServer::Implementation {
 public:
  Implementation(boost::asio::io_context& loop, const Address& address, const HttpServerLimits& limits,
                 HttpServer::Handler handler)
      : handler(std::move(handler)),
        counter(std::make_shared<ConnectionCounter>()),
        address_text(ToString(address)),
        server(restinio::external_io_context(loop), this->MakeSettings(address, limits)) {}

  restinio::server_settings_t<ServerTraits> MakeSettings(const Address& address, const HttpServerLimits& limits) {
    restinio::server_settings_t<ServerTraits> settings;
    settings.address(address.ip)
        .port(address.port)
        .buffer_size(kReadBufferBytes)
        .read_next_http_message_timelimit(limits.idle_timeout)
        .handle_request_timeout(limits.response_timeout)
        .timer_manager(kTimeoutCheckInterval)
        .max_parallel_connections(limits.max_connections)
        .incoming_http_msg_limits(restinio::incoming_http_msg_limits_t{}.max_body_size(limits.max_body_bytes))
        .connection_state_listener(this->counter)
        .acceptor_options_setter([](restinio::acceptor_options_t& options) {
          options.set_option(restinio::asio_ns::ip::tcp::acceptor::reuse_address(true));
        })
        .acceptor_post_bind_hook(
            [](restinio::asio_ns::ip::tcp::acceptor& acceptor) { acceptor.listen(kListenBacklog); })
        .socket_options_setter(
            [](restinio::socket_options_t& options) { options.set_option(restinio::asio_ns::ip::tcp::no_delay(true)); })
        .request_handler([this](restinio::request_handle_t incoming) { return this->Handle(std::move(incoming)); });
    return settings;
  }

  restinio::request_handling_status_t Handle(restinio::request_handle_t incoming) {
    HttpRequest request = ToRequest(*incoming);
    if (const std::optional<MessagePart> invalid = FindInvalidReceivedPart(request)) {
      this->Refuse(*incoming, *invalid);
      return restinio::request_accepted();
    }
    ++this->in_flight;
    this->handler(std::move(request), [this, incoming = std::move(incoming)](HttpResponse response) {
      --this->in_flight;
      this->Send(*incoming, std::move(response));
    });
    return restinio::request_accepted();
  }

  // What follows the request on its connection may be a part of it to its sender, so the connection ends.
  void Refuse(restinio::request_t& incoming, MessagePart invalid) {
    if (this->refusal_log_limiter.Admit(BootClock::now())) {
      logging::Write(
          logging::Level::kInfo, "refusing a request with an invalid part",
          {{"part", MessagePartName(invalid)}, {"lines_suppressed", this->refusal_log_limiter.TakeSuppressedCount()}});
    }
    auto builder = incoming.create_response(restinio::status_bad_request());
    builder.append_header(restinio::http_field::content_type, "text/plain");
    builder.connection_close();
    builder.set_body("the request has an invalid " + std::string(MessagePartName(invalid))).done();
  }

  void Send(restinio::request_t& incoming, HttpResponse unchecked) const {
    HttpResponse response = WithValidParts(std::move(unchecked));
    auto builder = incoming.create_response(
        restinio::http_status_line_t(restinio::http_status_code_t(static_cast<std::uint16_t>(response.status)), ""));
    builder.append_header(restinio::http_field::content_type, std::move(response.content_type));
    for (HttpHeader& header : response.headers) {
      builder.append_header(std::move(header.name), std::move(header.value));
    }
    if (this->closing) {
      builder.connection_close();
    } else if (incoming.header().should_keep_alive()) {
      builder.connection_keep_alive();
    }
    builder.set_body(std::move(response.body)).done();
  }

  HttpServer::Handler handler;
  std::shared_ptr<ConnectionCounter> counter;
  std::string address_text;
  logging::RateLimiter refusal_log_limiter{kRefusalLinesPerSecond, kMaxRefusalLines};
  std::size_t in_flight = 0;
  bool closing = false;
  restinio::http_server_t<ServerTraits> server;
};

HttpServer::HttpServer(boost::asio::io_context& loop, const Address& address, const HttpServerLimits& limits,
                       Handler handler)
    : implementation(std::make_unique<Implementation>(loop, address, limits, std::move(handler))) {}

HttpServer::~HttpServer() = default;

void HttpServer::Start() {
  try {
    this->implementation->server.open_sync();
  } catch (const std::exception& failure) {
    throw ListenError("cannot listen on " + this->implementation->address_text + ": " + failure.what());
  }
}

void HttpServer::StopAccepting() {
  this->implementation->closing = true;
  this->implementation->server.close_sync();
}

std::size_t HttpServer::RequestsInFlight() const { return this->implementation->in_flight; }

std::size_t HttpServer::OpenConnections() const { return this->implementation->counter->open; }

}  // namespace amaranthlane::net
