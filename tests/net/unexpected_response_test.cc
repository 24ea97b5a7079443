#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "net/http_connection.h"
#include "net/http_pool.h"
#include "net/raw_peer.h"

// Bytes that a peer sends without being asked must not become the response to the next request.
namespace amaranthlane::net {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kCallTimeout{5};

std::string ResponseText(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class UnexpectedResponseTest : public ::testing::Test {
 protected:
  UnexpectedResponseTest()
      : acceptor(this->loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        connection(std::make_shared<HttpConnection>(this->loop,
                                                    Address{"127.0.0.1", this->acceptor.local_endpoint().port()})) {}

  void StartCall(const std::string& target) {
    this->result.reset();
    this->connection->Call(HttpRequest{"GET", target, {}, {}}, BootClock::now() + kCallTimeout,
                           [this](const CallResult& ended) { this->result = ended; });
  }

  // Runs until the call in progress ends. What follows its callback in the event loop runs too.
  void AwaitResult() {
    const TimePoint end = BootClock::now() + kCallTimeout;
    while (!this->result && BootClock::now() < end) {
      this->loop.restart();
      this->loop.run_for(milliseconds(2));
    }
    this->loop.restart();
    this->loop.poll();
  }

  boost::asio::io_context loop;
  tcp::acceptor acceptor;
  std::shared_ptr<HttpConnection> connection;
  std::optional<CallResult> result;
};

TEST_F(UnexpectedResponseTest, AnswersNoLaterRequest) {
  this->StartCall("/first");
  testing::RawPeer peer(this->acceptor.accept());
  peer.Send(ResponseText("first"));
  this->AwaitResult();
  ASSERT_TRUE(this->result);
  EXPECT_EQ(this->result->response.body, "first");
  peer.Received();
  peer.Send(ResponseText("first again"));
  this->StartCall("/second");
  this->AwaitResult();
  ASSERT_TRUE(this->result);
  EXPECT_EQ(this->result->status, CallStatus::kNotSent) << this->result->response.body;
  EXPECT_FALSE(this->connection->Usable());
  EXPECT_EQ(peer.Received(), "");
}

TEST_F(UnexpectedResponseTest, EndsTheConnectionIfItFollowsAResponse) {
  this->StartCall("/first");
  testing::RawPeer peer(this->acceptor.accept());
  peer.Send(ResponseText("first") + ResponseText("first again"));
  this->AwaitResult();
  ASSERT_TRUE(this->result);
  EXPECT_EQ(this->result->response.body, "first");
  EXPECT_FALSE(this->connection->Usable());
}

// A pool of one connection replaces it.
TEST_F(UnexpectedResponseTest, CostsAPoolNoCall) {
  HttpPool pool(this->loop, Address{"127.0.0.1", this->acceptor.local_endpoint().port()}, 1);
  const auto call = [this, &pool](const std::string& target) {
    this->result.reset();
    pool.Call(HttpRequest{"GET", target, {}, {}}, BootClock::now() + kCallTimeout,
              [this](const CallResult& ended) { this->result = ended; });
  };
  call("/first");
  testing::RawPeer first(this->acceptor.accept());
  first.Send(ResponseText("first"));
  this->AwaitResult();
  first.Send(ResponseText("first again"));
  call("/second");
  // The second connection is opened at once, or never.
  this->acceptor.non_blocking(true);
  testing::RawPeer second(this->acceptor.accept());
  second.Send(ResponseText("second"));
  this->AwaitResult();
  ASSERT_TRUE(this->result);
  EXPECT_EQ(this->result->response.body, "second");
}

}  // namespace
}  // namespace amaranthlane::net
