#include "stand_ins/common/http_connection.h"

#include <boost/asio/write.hpp>

#include "stand_ins/common/problem.h"

namespace amaranthlane::stand_ins {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBufferBytes = 8192;
constexpr std::uint64_t kMaxBodyBytes = 4ULL << 20;
constexpr unsigned kFirstErrorStatus = 400;

// Formats the header directly because the Beast serializer makes several allocations per response.
void AppendResponseHeader(std::string& output, unsigned status, std::size_t length) {
  const auto reason = http::obsolete_reason(http::int_to_status(status));
  output += "HTTP/1.1 ";
  output += std::to_string(status);
  output += ' ';
  output.append(reason.data(), reason.size());
  output += status < kFirstErrorStatus ? "\r\nContent-Type: application/json\r\nContent-Length: "
                                       : "\r\nContent-Type: application/problem+json\r\nContent-Length: ";
  output += std::to_string(length);
  output += "\r\n\r\n";
}

}  // namespace

HttpTarget ParseTarget(const HttpRequest& request) {
  const auto target = request.target();
  return HttpTarget(std::string_view(target.data(), target.size()));
}

HttpConnection::HttpConnection(std::uint64_t id, boost::asio::ip::tcp::socket socket, const ServerSettings& settings)
    : id(id),
      socket(std::move(socket)),
      settings(settings),
      timer(this->socket.get_executor()),
      earliest_first_request(BootClock::now() + settings.connect_delay) {
  error_code ignored;
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  this->socket.non_blocking(true, ignored);
}

void HttpConnection::Start() {
  this->settings.executor->Run([self = this->shared_from_this()] { self->ReadRequest(); });
}

void HttpConnection::Respond(unsigned status, std::string body) {
  this->settings.executor->Run(
      [self = this->shared_from_this(), status, body = std::move(body)] { self->Send(status, body); });
}

void HttpConnection::RespondAndClose(unsigned status, std::string body) {
  this->close_after_response = true;
  this->Respond(status, std::move(body));
}

void HttpConnection::Disconnect() {
  this->settings.executor->Run([self = this->shared_from_this()] { self->Close(); });
}

void HttpConnection::RunWithErrorResponse(const std::function<void()>& work, const std::string& request_id) {
  Problem problem;
  try {
    work();
    return;
  } catch (const ProblemError& error) {
    problem = error.problem;
  } catch (const Error& error) {
    problem = BadRequestError(error.what()).problem;
  }
  if (!request_id.empty()) {
    problem.members["request_id"] = nlohmann::json::parse(request_id);
  }
  this->Respond(problem.status, FormatProblem(problem));
}

void HttpConnection::ReadRequest() {
  this->response_pending = false;
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->body_limit(kMaxBodyBytes);
  this->ParseBuffer();
}

void HttpConnection::ReadMore() {
  if (this->closed) {
    return;
  }
  this->socket.async_read_some(this->buffer.prepare(kReadBufferBytes),
                               [self = this->shared_from_this()](error_code error, std::size_t count) {
                                 if (error) {
                                   self->Disconnect();
                                   return;
                                 }
                                 self->buffer.commit(count);
                                 self->ParseBuffer();
                               });
}

void HttpConnection::ParseBuffer() {
  while (!this->parser->is_done()) {
    if (this->buffer.size() == 0) {
      this->ReadMore();
      return;
    }
    error_code error;
    const std::size_t used = this->parser->put(this->buffer.data(), error);
    this->buffer.consume(used);
    if (error == http::error::need_more) {
      this->ReadMore();
      return;
    }
    if (error) {
      this->Disconnect();
      return;
    }
  }
  if (BootClock::now() >= this->earliest_first_request) {
    this->HandleRequest();
    return;
  }
  this->timer.expires_after(this->earliest_first_request - BootClock::now());
  this->timer.async_wait([self = this->shared_from_this()](error_code) { self->HandleRequest(); });
}

void HttpConnection::HandleRequest() {
  this->settings.executor->Run([self = this->shared_from_this()] { self->CallHandler(self->parser->release()); });
}

void HttpConnection::CallHandler(const HttpRequest& request) {
  this->response_pending = true;
  this->close_after_response = !request.keep_alive();
  const HttpConnectionPtr self = this->shared_from_this();
  this->RunWithErrorResponse([&] { this->settings.handle_request(self, request); });
  if (this->response_pending) {
    this->WatchForDisconnect();
  }
}

// Nothing is read while a response is outstanding, so a disconnect by the client is detected as a readable socket with
// no bytes available.
void HttpConnection::WatchForDisconnect() {
  if (this->watching_for_disconnect || this->closed) {
    return;
  }
  this->watching_for_disconnect = true;
  this->socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = this->shared_from_this()](error_code error) {
    self->watching_for_disconnect = false;
    error_code failure;
    if (self->response_pending && (error || self->socket.available(failure) == 0)) {
      self->Disconnect();
    }
  });
}

void HttpConnection::Send(unsigned status, std::string_view body) {
  if (this->closed || !this->response_pending) {
    return;
  }
  this->output.clear();
  AppendResponseHeader(this->output, status, body.size());
  this->output += body;
  error_code error;
  const std::size_t sent = this->socket.write_some(boost::asio::buffer(this->output), error);
  if (sent == this->output.size()) {
    this->FinishResponse();
    return;
  }
  if (error && error != boost::asio::error::would_block) {
    this->Close();
    return;
  }
  boost::asio::async_write(this->socket, boost::asio::buffer(this->output) + sent,
                           [self = this->shared_from_this()](error_code failure, std::size_t) {
                             failure ? self->Close() : self->FinishResponse();
                           });
}

void HttpConnection::FinishResponse() {
  if (this->close_after_response) {
    this->Close();
    return;
  }
  this->ReadRequest();
}

void HttpConnection::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  this->response_pending = false;
  this->timer.cancel();
  error_code ignored;
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
  this->settings.handle_close(this->id);
}

}  // namespace amaranthlane::stand_ins
