#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "common/boot_clock.h"
#include "net/free_port.h"
#include "net/http_server.h"
#include "net/raw_peer.h"

// Where a request ends must not be a matter of opinion: a proxy before a VM may read it in another way.
namespace amaranthlane::net {
namespace {

constexpr std::chrono::seconds kEndTimeout{2};
constexpr char kInnerRequest[] = "GET /inner HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

class RequestFramingTest : public ::testing::Test {
 protected:
  RequestFramingTest()
      : address({"127.0.0.1", amaranthlane::testing::FreePort()}),
        server(this->loop, this->address, {}, [this](const HttpRequest& request, const auto& respond) {
          this->targets.push_back(request.target);
          respond(HttpResponse{});
        }) {
    this->server.Start();
  }

  // The targets of the requests that the server takes `bytes` for. Sets `ended` if it closed the connection.
  std::vector<std::string> TargetsOf(const std::string& bytes) {
    this->targets.clear();
    testing::RawPeer peer(this->loop, this->address);
    peer.Send(bytes);
    const TimePoint end = BootClock::now() + kEndTimeout;
    do {
      this->loop.restart();
      this->loop.run_for(std::chrono::milliseconds(2));
      peer.Received();
      this->ended = peer.AtEnd();
    } while (!this->ended && BootClock::now() < end);
    return std::exchange(this->targets, {});
  }

  boost::asio::io_context loop;
  Address address;
  std::vector<std::string> targets;
  bool ended = false;
  HttpServer server;
};

TEST_F(RequestFramingTest, ARequestWithTwoLengthsIsRefused) {
  const std::string body = "0\r\n\r\n";
  for (const std::string& headers :
       {"Content-Length: " + std::to_string(body.size() + sizeof(kInnerRequest) - 1) +
            "\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: " + std::to_string(body.size() + sizeof(kInnerRequest) - 1) +
            "\r\n",
        std::string("Content-Length: 5\r\nContent-Length: 38\r\n"), std::string("Content-Length: 5, 38\r\n"),
        std::string("Content-Length: +5\r\n"), std::string("Content-Length: 0x5\r\n"),
        std::string("Transfer-Encoding: xchunked\r\n"), std::string("Transfer-Encoding: chunked, identity\r\n"),
        std::string("Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n")}) {
    const std::string request = "POST /outer HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + body + kInnerRequest;
    EXPECT_TRUE(this->TargetsOf(request).empty()) << headers;
    EXPECT_TRUE(this->ended) << headers;
  }
}

TEST_F(RequestFramingTest, AHeaderWithAnUnclearNameIsRefused) {
  for (const std::string& headers :
       {std::string("X: a\0b\r\n", 8), std::string("X\0: a\r\n", 7), std::string("Content-Length : 5\r\n"),
        std::string("X y: a\r\n"), std::string(": a\r\n"), std::string("X\r\n")}) {
    const std::string request = "POST /outer HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n" + kInnerRequest;
    EXPECT_TRUE(this->TargetsOf(request).empty()) << ::testing::PrintToString(headers);
    EXPECT_TRUE(this->ended) << ::testing::PrintToString(headers);
  }
}

TEST_F(RequestFramingTest, PipelinedRequestsAreServedInOrder) {
  const std::string first = "POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nGET";
  EXPECT_EQ(this->TargetsOf(first + kInnerRequest), (std::vector<std::string>{"/first", "/inner"}));
}

TEST_F(RequestFramingTest, ATargetThatIsNoPathIsRefused) {
  for (const std::string& target :
       {std::string("/a\0b", 4), std::string("/a\tb"), std::string("/a\x7f"), std::string("/\xff"), std::string("/a#b"),
        std::string("/a b"), std::string("http://a/b"), std::string("*")}) {
    const std::string request = "GET " + target + " HTTP/1.1\r\nHost: a\r\n\r\n";
    EXPECT_TRUE(this->TargetsOf(request + kInnerRequest).empty()) << ::testing::PrintToString(target);
    EXPECT_TRUE(this->ended) << ::testing::PrintToString(target);
  }
}

}  // namespace
}  // namespace amaranthlane::net
