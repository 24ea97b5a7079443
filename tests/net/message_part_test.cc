#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "net/free_port.h"
#include "net/http_connection.h"
#include "net/http_message.h"
#include "net/http_server.h"
#include "net/raw_peer.h"

// A value that a caller chose must not change which message a peer reads.
namespace amaranthlane::net {
namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kCallTimeout{5};
constexpr char kInjectedHeader[] = "a\r\nSet-Cookie: b";

// A server that answers each request with `response`, and a client.
class MessagePartTest : public ::testing::Test {
 protected:
  MessagePartTest()
      : address({"127.0.0.1", amaranthlane::testing::FreePort()}),
        server(this->loop, this->address, {}, [this](HttpRequest request, const HttpServer::ResponseCallback& respond) {
          this->received.push_back(std::move(request));
          respond(this->response);
        }) {
    this->server.Start();
  }

  // Calls over a connection of its own.
  CallStatus Call(const HttpRequest& request) {
    const auto connection = std::make_shared<HttpConnection>(this->loop, this->address);
    std::optional<CallStatus> status;
    connection->Call(request, BootClock::now() + kCallTimeout,
                     [&status](const CallResult& result) { status = result.status; });
    while (!status) {
      this->loop.run_one();
    }
    connection->Close();
    this->loop.poll();
    return *status;
  }

  // What a client without a parser gets for a request.
  std::string RawResponse() {
    testing::RawPeer peer(this->loop, this->address);
    peer.Send("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::string bytes;
    this->RunUntil([&peer, &bytes] {
      bytes += peer.Received();
      return peer.AtEnd();
    });
    return bytes;
  }

  void RunUntil(const std::function<bool()>& done) {
    const TimePoint end = BootClock::now() + kCallTimeout;
    while (!done() && BootClock::now() < end) {
      this->loop.restart();
      this->loop.run_for(milliseconds(2));
    }
  }

  boost::asio::io_context loop;
  Address address;
  HttpResponse response;
  std::vector<HttpRequest> received;
  HttpServer server;
};

TEST_F(MessagePartTest, ARequestWithAnInvalidPartIsNotSent) {
  const std::vector<HttpRequest> requests = {
      {"GET /other HTTP/1.1\r\nHost: a\r\n\r\nGET", "/", {}, {}},
      {"", "/", {}, {}},
      {"GET", "/a b", {}, {}},
      {"GET", "/a\r\nX: y", {}, {}},
      {"GET", "/a\nb", {}, {}},
      {"GET", "/a#b", {}, {}},
      {"GET", std::string("/a\0b", 4), {}, {}},
      {"GET", "/\xff", {}, {}},
      {"GET", "a", {}, {}},
      {"GET", "", {}, {}},
      {"GET", "/", {{"X", kInjectedHeader}}, {}},
      {"GET", "/", {{"X", "a\rb"}}, {}},
      {"GET", "/", {{"X", "a\nb"}}, {}},
      {"GET", "/", {{"X", std::string("a\0b", 3)}}, {}},
      {"GET", "/", {{"X", "a\x7f"}}, {}},
      {"GET", "/", {{"X", " a"}}, {}},
      {"GET", "/", {{"X", "a\t"}}, {}},
      {"GET", "/", {{"X", std::string(1U << 16U, 'a')}}, {}},
      {"GET", "/", {{"X: y\r\nZ", "a"}}, {}},
      {"GET", "/", {{"X ", "a"}}, {}},
      {"GET", "/", {{"", "a"}}, {}},
      {"POST", "/", {{"transfer-encoding", "chunked"}}, "x"},
      {"POST", "/", {{"Content-Length", "0"}}, "x"},
      {"POST", "/", {{"Connection", "close"}}, "x"},
  };
  for (const HttpRequest& request : requests) {
    const std::string shown = ::testing::PrintToString(request.method + "|" + request.target);
    try {
      EXPECT_EQ(this->Call(request), CallStatus::kNotSent) << shown;
    } catch (const std::exception& failure) {
      ADD_FAILURE() << shown << ": " << failure.what();
    }
  }
  EXPECT_TRUE(this->received.empty());
}

TEST_F(MessagePartTest, AConnectionSurvivesAnInvalidRequest) {
  const auto connection = std::make_shared<HttpConnection>(this->loop, this->address);
  std::vector<CallStatus> statuses;
  for (const char* target : {"/a", "/a b", "/b"}) {
    connection->Call(HttpRequest{"GET", target, {}, {}}, BootClock::now() + kCallTimeout,
                     [&statuses](const CallResult& result) { statuses.push_back(result.status); });
    this->RunUntil(
        [&statuses, expected = statuses.size() + (connection->Busy() ? 1 : 0)] { return statuses.size() == expected; });
  }
  EXPECT_EQ(statuses, (std::vector<CallStatus>{CallStatus::kAnswered, CallStatus::kNotSent, CallStatus::kAnswered}));
}

TEST_F(MessagePartTest, AResponseWithAnInvalidPartBecomesAnError) {
  const std::vector<HttpResponse> responses = {
      {200, {{"Session-Token", kInjectedHeader}}, "text/plain", "body"},
      {200, {{"Session-Token", "a\nSet-Cookie: b"}}, "text/plain", "body"},
      {200, {{"A: a\r\nSet-Cookie", "b"}}, "text/plain", "body"},
      {200, {}, "text/plain\r\nSet-Cookie: b", "body"},
      {200, {{"Transfer-Encoding", "chunked"}}, "text/plain", "body"},
      {200, {{"Connection", "close"}}, "text/plain", "body"},
      {100, {}, "text/plain", "body"},
  };
  for (const HttpResponse& candidate : responses) {
    this->response = candidate;
    const std::string bytes = this->RawResponse();
    EXPECT_EQ(bytes.substr(0, 13), "HTTP/1.1 500 ") << bytes;
    EXPECT_EQ(bytes.find("Set-Cookie"), std::string::npos) << bytes;
  }
}

// A response that is relayed keeps the headers of its sender, but not those of the connection it came on.
TEST_F(MessagePartTest, AReceivedResponseHoldsNoFramingHeader) {
  this->response.headers = {{"Retry-After", "3"}};
  const auto connection = std::make_shared<HttpConnection>(this->loop, this->address);
  CallResult result;
  connection->Call(HttpRequest{"GET", "/", {}, {}}, BootClock::now() + kCallTimeout,
                   [&result](const CallResult& ended) { result = ended; });
  this->RunUntil([&connection] { return !connection->Busy(); });
  ASSERT_EQ(result.status, CallStatus::kAnswered);
  ASSERT_EQ(result.response.headers.size(), 1U);
  EXPECT_EQ(result.response.headers.front().name, "Retry-After");
}

// Each request either arrives as it was made, or nothing arrives.
TEST_F(MessagePartTest, NoRequestArrivesAsAnother) {
  const bool passed = rc::check("no request arrives as another", [this] {
    const auto text = rc::gen::container<std::string>(
        rc::gen::weightedOneOf<char>({{90, rc::gen::element('a', 'b', 'c', '?', '/', '%', '=', '&')},
                                      {1, rc::gen::element('\r', '\n', '\0', ' ', '\t', '#', ':', '\x7f')},
                                      {1, rc::gen::arbitrary<char>()}}));
    const HttpRequest request{*rc::gen::element<std::string>("GET", "POST", "PUT"),
                              "/" + *text,
                              {{"X" + *rc::gen::element<std::string>("", "-Id", *text), *text}},
                              *text};
    this->received.clear();
    this->loop.restart();
    const CallStatus status = this->Call(request);
    RC_CLASSIFY(status == CallStatus::kAnswered, "sent");
    if (status == CallStatus::kNotSent) {
      RC_ASSERT(this->received.empty());
      return;
    }
    RC_ASSERT(status == CallStatus::kAnswered);
    RC_ASSERT(this->received.size() == 1U);
    RC_ASSERT(this->received.front().method == request.method);
    RC_ASSERT(this->received.front().target == request.target);
    RC_ASSERT(this->received.front().body == request.body);
    RC_ASSERT(FindHeader(this->received.front().headers, request.headers.front().name) ==
              request.headers.front().value);
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::net
