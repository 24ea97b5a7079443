#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include "net/http_connection.h"
#include "net/http_message.h"
#include "net/http_server.h"

namespace amaranthlane::net {
namespace {

const Address kAddress{"127.0.0.1", 24990};
constexpr std::chrono::seconds kCallTimeout{5};

// The outcome of one call: the byte counts measured by the client (`result`) and those computed by the server.
struct Exchange {
  CallResult result;
  std::size_t counted_request_bytes = 0;
  std::size_t counted_response_bytes = 0;
};

Exchange CallOnce(const HttpRequest& request, const HttpResponse& response) {
  boost::asio::io_context loop;
  Exchange exchange;
  HttpServer server(loop, kAddress, HttpServerLimits{},
                    [&](const HttpRequest& received, const HttpServer::ResponseCallback& respond) {
                      exchange.counted_request_bytes = WireSize(received);
                      exchange.counted_response_bytes = WireSize(response);
                      respond(response);
                    });
  server.Start();
  const auto connection = std::make_shared<HttpConnection>(loop, kAddress);
  connection->Call(request, BootClock::now() + kCallTimeout, [&](CallResult result) {
    exchange.result = std::move(result);
    loop.stop();
  });
  loop.run();
  return exchange;
}

// The sizes that the server computes must equal the bytes that the client sent and received on the connection.
TEST(WireSizeTest, ClientAndServerCountTheSameBytes) {
  const Exchange exchange =
      CallOnce(HttpRequest{"POST", "/v1/peer/beat?a=b", {{"from-vm", "vm-1"}}, "{\"a\":1}"},
               HttpResponse{200, {{"retry-after", "3"}}, "application/json", std::string(1234, 'x')});
  ASSERT_EQ(exchange.result.status, CallStatus::kAnswered);
  EXPECT_EQ(exchange.counted_request_bytes, exchange.result.sent_bytes);
  EXPECT_EQ(exchange.counted_response_bytes, exchange.result.received_bytes);
}

TEST(WireSizeTest, CallWithoutServerSendsNoBytes) {
  boost::asio::io_context loop;
  CallResult result;
  const auto connection = std::make_shared<HttpConnection>(loop, kAddress);
  connection->Call(HttpRequest{"POST", "/", {}, "x"}, BootClock::now() + kCallTimeout,
                   [&](CallResult ended) { result = std::move(ended); });
  loop.run();
  EXPECT_EQ(result.status, CallStatus::kNotSent);
  EXPECT_EQ(result.sent_bytes, 0U);
}

}  // namespace
}  // namespace amaranthlane::net
