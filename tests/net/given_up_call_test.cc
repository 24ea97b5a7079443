#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include "net/http_connection.h"

// A call that its caller gives up on must not reach the peer later. The bytes that a network holds up are discarded
// only if the connection is reset, which these tests observe at the peer.
namespace amaranthlane::net {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// A peer that accepts connections and answers nothing.
class GivenUpCallTest : public testing::Test {
 protected:
  GivenUpCallTest() : acceptor(this->loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {}

  Address PeerAddress() const { return {"127.0.0.1", this->acceptor.local_endpoint().port()}; }

  static HttpRequest MakeRequest() {
    HttpRequest request;
    request.method = "POST";
    request.target = "/promotion";
    request.body = "{}";
    return request;
  }

  // Reads at the peer until the connection ends. Returns how it ended.
  static boost::system::error_code ReadToEnd(tcp::socket& peer, std::string& received) {
    std::array<char, 1024> buffer{};
    boost::system::error_code end;
    while (!end) {
      const std::size_t size = peer.read_some(boost::asio::buffer(buffer), end);
      received.append(buffer.data(), size);
    }
    return end;
  }

  boost::asio::io_context loop;
  tcp::acceptor acceptor;
  std::string received;
};

// Guards against a call whose bytes still travel after its deadline.
TEST_F(GivenUpCallTest, IsResetAtItsDeadline) {
  const auto connection = std::make_shared<HttpConnection>(this->loop, this->PeerAddress());
  std::optional<CallStatus> status;
  connection->Call(MakeRequest(), BootClock::now() + milliseconds(100),
                   [&status](const CallResult& result) { status = result.status; });
  this->loop.run_for(milliseconds(400));
  EXPECT_EQ(status, CallStatus::kTimedOut);
  tcp::socket peer = this->acceptor.accept();
  EXPECT_EQ(ReadToEnd(peer, this->received), boost::asio::error::connection_reset);
}

TEST_F(GivenUpCallTest, IsResetWhenItIsClosed) {
  const auto connection = std::make_shared<HttpConnection>(this->loop, this->PeerAddress());
  std::optional<CallStatus> status;
  connection->Call(MakeRequest(), BootClock::now() + std::chrono::seconds(10),
                   [&status](const CallResult& result) { status = result.status; });
  this->loop.run_for(milliseconds(50));
  connection->Close();
  EXPECT_EQ(status, CallStatus::kBroken);
  tcp::socket peer = this->acceptor.accept();
  EXPECT_EQ(ReadToEnd(peer, this->received), boost::asio::error::connection_reset);
}

// Guards against a call that is sent after its deadline because the process was suspended while it connected.
TEST_F(GivenUpCallTest, IsNotSentAfterItsDeadline) {
  for (int round = 0; round < 20; ++round) {
    const auto connection = std::make_shared<HttpConnection>(this->loop, this->PeerAddress());
    std::optional<CallStatus> status;
    connection->Call(MakeRequest(), BootClock::now() + milliseconds(5),
                     [&status](const CallResult& result) { status = result.status; });
    std::this_thread::sleep_for(milliseconds(10));
    this->loop.restart();
    this->loop.run_for(milliseconds(20));
    EXPECT_EQ(status, CallStatus::kNotSent);
    tcp::socket peer = this->acceptor.accept();
    ReadToEnd(peer, this->received);
    EXPECT_EQ(this->received, "");
  }
}

// Guards against a call in flight that outlives its process.
TEST_F(GivenUpCallTest, IsResetWhenItsProcessIsKilled) {
  const pid_t child = fork();
  if (child == 0) {
    boost::asio::io_context own_loop;
    const auto connection = std::make_shared<HttpConnection>(own_loop, this->PeerAddress());
    connection->Call(MakeRequest(), BootClock::now() + std::chrono::seconds(10), [](const CallResult&) {});
    own_loop.run_for(std::chrono::seconds(10));
    _exit(0);
  }
  tcp::socket peer = this->acceptor.accept();
  std::array<char, 1024> buffer{};
  ASSERT_GT(peer.read_some(boost::asio::buffer(buffer)), 0U);
  kill(child, SIGKILL);
  ASSERT_EQ(waitpid(child, nullptr, 0), child);
  EXPECT_EQ(ReadToEnd(peer, this->received), boost::asio::error::connection_reset);
}

}  // namespace
}  // namespace amaranthlane::net
