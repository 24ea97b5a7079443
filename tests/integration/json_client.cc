#include "integration/json_client.h"

namespace amaranthlane::testing {

namespace {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr unsigned kHttpVersion11 = 11;

}  // namespace

HttpCallError::HttpCallError(const std::string& target, error_code error)
    : Error(target + ": " + error.message()),
      timed_out(error == beast::error::timeout),
      refused(error == boost::asio::error::connection_refused) {}

std::string HttpResponse::Header(const std::string& name) const { return std::string(this->headers[name]); }

JsonClient::JsonClient(std::uint16_t port, std::chrono::milliseconds timeout)
    : port(port), timeout(timeout), stream(this->io) {}

HttpResponse JsonClient::Call(const std::string& method, const std::string& target, const nlohmann::json& body,
                              const std::vector<HttpHeader>& headers) {
  if (!this->connected) {
    this->Connect(target);
  }
  Request request;
  request.version(kHttpVersion11);
  request.method_string(method);
  request.target(target);
  request.set(http::field::host, "127.0.0.1");
  for (const HttpHeader& header : headers) {
    request.set(header.name, header.value);
  }
  if (!body.is_null()) {
    request.set(http::field::content_type, "application/json");
    request.body() = body.dump();
  }
  request.prepare_payload();
  Response response = this->Exchange(target, request);
  HttpResponse http_response;
  http_response.status = response.result_int();
  http_response.text = response.body();
  const nlohmann::json parsed = nlohmann::json::parse(http_response.text, nullptr, /*allow_exceptions=*/false);
  http_response.body = parsed.is_discarded() ? nlohmann::json() : parsed;
  http_response.headers = std::move(response.base());
  return http_response;
}

HttpResponse JsonClient::Get(const std::string& target) { return this->Call("GET", target); }

HttpResponse JsonClient::Post(const std::string& target, const nlohmann::json& body) {
  return this->Call("POST", target, body);
}

void JsonClient::Close() {
  error_code ignored;
  this->stream.socket().close(ignored);
  this->buffer.clear();
  this->connected = false;
}

void JsonClient::Connect(const std::string& target) {
  error_code result;
  this->io.restart();
  this->stream.expires_after(this->timeout);
  this->stream.async_connect(tcp::endpoint(boost::asio::ip::address_v4::loopback(), this->port),
                             [&](error_code error) { result = error; });
  this->io.run();
  this->CloseAndThrowOnError(target, result);
  this->stream.socket().set_option(tcp::no_delay(true));
  this->connected = true;
}

JsonClient::Response JsonClient::Exchange(const std::string& target, const Request& request) {
  Response response;
  error_code result;
  this->io.restart();
  this->stream.expires_after(this->timeout);
  http::async_write(this->stream, request, [&](error_code error, std::size_t) {
    result = error;
    if (!error) {
      http::async_read(this->stream, this->buffer, response,
                       [&](error_code failure, std::size_t) { result = failure; });
    }
  });
  this->io.run();
  this->CloseAndThrowOnError(target, result);
  if (!response.keep_alive()) {
    this->Close();
  }
  return response;
}

void JsonClient::CloseAndThrowOnError(const std::string& target, error_code error) {
  if (error) {
    this->Close();
    throw HttpCallError(target, error);
  }
}

}  // namespace amaranthlane::testing
