#include "stand_ins/common/http_client.h"

namespace amaranthlane::stand_ins {

namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttpVersion11 = 11;

}  // namespace

HttpClient::HttpClient(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint server,
                       boost::asio::ip::address source_address)
    : stream(io), server(std::move(server)), source_address(std::move(source_address)) {}

void HttpClient::Get(const std::string& target, std::chrono::milliseconds timeout, Handler handler) {
  this->handler = std::move(handler);
  this->timeout = timeout;
  this->request = {http::verb::get, target, kHttpVersion11};
  this->request.set(http::field::host, "endpoint");
  if (this->connected) {
    this->Write();
    return;
  }
  this->BindSource();
  this->stream.expires_after(timeout);
  this->stream.async_connect(this->server, [self = this->shared_from_this()](error_code error) {
    if (error) {
      self->Finish(error);
      return;
    }
    self->connected = true;
    error_code ignored;
    self->stream.socket().set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    self->Write();
  });
}

void HttpClient::BindSource() {
  if (this->source_address.is_unspecified()) {
    return;
  }
  error_code ignored;
  this->stream.socket().open(this->server.protocol(), ignored);
  this->stream.socket().bind({this->source_address, 0}, ignored);
}

void HttpClient::Write() {
  this->stream.expires_after(this->timeout);
  http::async_write(this->stream, this->request, [self = this->shared_from_this()](error_code error, std::size_t) {
    if (error) {
      self->Finish(error);
      return;
    }
    self->response = {};
    http::async_read(self->stream, self->buffer, self->response,
                     [self](error_code failure, std::size_t) { self->Finish(failure); });
  });
}

void HttpClient::Finish(error_code error) {
  const Handler callback = std::move(this->handler);
  this->handler = nullptr;
  if (!callback) {
    return;
  }
  if (error) {
    callback(std::nullopt);
    return;
  }
  callback(HttpResponse{this->response.result_int(), std::move(this->response.body())});
}

void HttpClient::Cancel() {
  this->handler = nullptr;
  this->stream.close();
}

}  // namespace amaranthlane::stand_ins
