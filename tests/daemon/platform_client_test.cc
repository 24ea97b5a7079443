#include "daemon/platform_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "net/free_port.h"
#include "net/http_server.h"

namespace amaranthlane::daemon {
namespace {

// Calls a platform that answers each request with `body`.
class PlatformClientTest : public ::testing::Test {
 protected:
  PlatformClientTest()
      : address({"127.0.0.1", testing::FreePort()}),
        server(this->loop, this->address, {},
               [this](const net::HttpRequest&, const net::HttpServer::ResponseCallback& answer) {
                 net::HttpResponse response;
                 response.body = this->body;
                 answer(response);
               }),
        traffic(this->registry),
        client(this->loop, this->address, this->registry, this->traffic) {
    this->server.Start();
  }

  PlatformReply AwaitReply(const std::function<void(PlatformClient::Callback)>& call) {
    std::optional<PlatformReply> reply;
    call([&reply](PlatformReply received) { reply = std::move(received); });
    const TimePoint end = BootClock::now() + std::chrono::seconds(5);
    while (!reply && BootClock::now() < end) {
      this->loop.restart();
      this->loop.run_for(std::chrono::milliseconds(5));
    }
    return reply.value_or(PlatformReply{});
  }

  boost::asio::io_context loop;
  net::Address address;
  std::string body;
  net::HttpServer server;
  metrics::Registry registry;
  ControlTraffic traffic;
  PlatformClient client;
};

// What another writer may leave in place of an entry's address.
TEST_F(PlatformClientTest, AnInvalidVmHidesNoOther) {
  const std::string good = R"({"vm":"a","data_centre":"d","region":"r","address":"127.0.0.1:7000","state":"live"})";
  const std::string deep = std::string(250000, '[') + std::string(250000, ']');
  for (const std::string& odd :
       {std::string(R"("127.0.0.1:70000")"), std::string(R"("127.0.0.1:0")"), std::string("1e999"), deep}) {
    this->body = R"({"version":7,"vms":[{"vm":"b","data_centre":"d","region":"r","address":)" + odd +
                 R"(,"state":"live"},)" + good + "]}";
    const PlatformReply reply =
        this->AwaitReply([this](PlatformClient::Callback done) { this->client.ListVms(std::move(done)); });
    EXPECT_EQ(reply.status, PlatformStatus::kDone) << odd.substr(0, 20);
    ASSERT_EQ(reply.vms.size(), 1U) << odd.substr(0, 20);
    EXPECT_EQ(reply.vms.front().vm, "a");
    EXPECT_EQ(reply.invalid_entries, 1U);
  }
}

TEST_F(PlatformClientTest, AnInvalidObjectHidesNoOther) {
  this->body = R"({"version":7,"objects":[{"kind":"labels","name":"b","version":6,"value":1e999},
                   {"kind":"labels","name":"a","version":7,"value":{"x":{"y":"z"}}}]})";
  const PlatformReply reply =
      this->AwaitReply([this](PlatformClient::Callback done) { this->client.List("labels", std::move(done)); });
  EXPECT_EQ(reply.status, PlatformStatus::kDone);
  ASSERT_EQ(reply.objects.size(), 1U);
  EXPECT_EQ(reply.objects.front().name, "a");
  EXPECT_EQ(this->registry.GetCounter("amaranthlane_platform_invalid_entries_total", "").value, 1U);
}

}  // namespace
}  // namespace amaranthlane::daemon
