#include "proxy/node_fixture.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <map>
#include <stdexcept>
#include <utility>

#include "net/address.h"
#include "net/free_port.h"

namespace amaranthlane::proxy {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds kPollInterval{2};
constexpr std::chrono::seconds kWaitTimeout{10};
constexpr std::uint64_t kConnections = 24;

Route MakeRoute(const std::string& database, ReadConsistency consistency) {
  Route route;
  route.name = database;
  route.database = database;
  route.group = "g";
  route.consistency = consistency;
  route.max_staleness = std::chrono::milliseconds(1500);
  return route;
}

}  // namespace

TestCaller::TestCaller(boost::asio::io_context& loop, const std::string& address) : socket(loop) {
  const net::Address parsed = net::ParseAddress(address);
  this->socket.connect(tcp::endpoint(boost::asio::ip::make_address(parsed.ip), parsed.port));
  this->Read();
}

void TestCaller::Send(const std::string& line) {
  boost::system::error_code ignored;
  boost::asio::write(this->socket, boost::asio::buffer(line + "\n"), ignored);
}

void TestCaller::SendWithoutPause(const std::function<std::string()>& line) {
  this->next_line = line;
  this->Send(line());
}

std::string TestCaller::TakeReceived() { return std::exchange(this->received, {}); }

void TestCaller::Read() {
  this->socket.async_read_some(
      boost::asio::buffer(this->read_buffer), [this](boost::system::error_code error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (error) {
          this->closed = true;
          return;
        }
        const std::string bytes(this->read_buffer.data(), size);
        this->received += bytes;
        for (std::size_t at = bytes.find("ready"); at != std::string::npos; at = bytes.find("ready", at + 1)) {
          ++this->ready_count;
          if (this->next_line) {
            this->Send(this->next_line());
          }
        }
        this->Read();
      });
}

NodeFixture::NodeFixture(std::size_t count) {
  this->group.primary = "e1";
  this->StartEndpoints({"e1", "e2", "e3"});
  this->store.configuration.version = 1;
  this->store.configuration.groups["g"] = {kConnections, 0};
  for (const auto& [database, consistency] :
       std::map<std::string, ReadConsistency>{{"exact", ReadConsistency::kPrimary},
                                              {"bounded", ReadConsistency::kBoundedStaleness},
                                              {"own", ReadConsistency::kReadYourWrites}}) {
    this->store.configuration.routes[database] = MakeRoute(database, consistency);
  }
  this->store.promote = [this](const failover::OrderPromotion& order) {
    if (this->group.primary != order.endpoint) {
      this->group.primary = order.endpoint;
      ++this->group.term;
      this->PublishEndpoints();
    }
  };
  this->PublishEndpoints();
  for (std::size_t vm = 0; vm < count; ++vm) {
    this->AddVm();
  }
  const bool serving = this->RunUntil([this] {
    return this->store.Record() != nullptr && this->store.Record()->groups.count("g") > 0 &&
           this->store.Record()->members.size() == std::min<std::size_t>(this->vms.size(), 5);
  });
  EXPECT_TRUE(serving);
  this->RunFor(std::chrono::milliseconds(400));
}

NodeFixture::~NodeFixture() {
  for (Vm& vm : this->vms) {
    vm.node.reset();
  }
  this->endpoints.clear();
}

bool NodeFixture::RunUntil(const std::function<bool()>& done) {
  const TimePoint deadline = BootClock::now() + kWaitTimeout;
  bool reached = done();
  while (!reached && BootClock::now() < deadline) {
    this->loop.restart();
    this->loop.run_for(kPollInterval);
    reached = done();
  }
  return reached;
}

void NodeFixture::RunFor(std::chrono::milliseconds time) {
  this->loop.restart();
  this->loop.run_for(time);
}

void NodeFixture::AddVm() {
  Vm vm;
  const std::size_t number = this->vms.size();
  vm.settings.vm = "vm-" + std::to_string(number);
  vm.settings.data_centre = "dc-" + std::to_string(number % 3);
  for (std::string* address : {&vm.settings.callers_address, &vm.settings.peers_address, &vm.settings.operators_address,
                               &vm.settings.relay_address}) {
    *address = testing::LoopbackAddress(testing::FreePort());
  }
  vm.platform = std::make_unique<InMemoryPlatform>(this->loop, this->store);
  vm.node = std::make_unique<Node>(this->loop, vm.settings, number + 1, this->codec, *vm.platform);
  vm.node->Start();
  this->vms.push_back(std::move(vm));
}

void NodeFixture::StartEndpoints(const std::vector<EndpointName>& names) {
  this->endpoints.clear();
  for (const EndpointName& name : names) {
    this->endpoints.push_back(std::make_unique<FakeEndpoint>(this->loop, this->group, name));
  }
}

void NodeFixture::PublishEndpoints() {
  this->store.directory.endpoints.clear();
  for (const auto& endpoint : this->endpoints) {
    const failover::EndpointEntry entry = endpoint->Entry();
    this->store.directory.endpoints.emplace(entry.name, entry);
  }
  this->store.Publish();
}

std::unique_ptr<TestCaller> NodeFixture::Open(std::size_t vm, const std::string& database) {
  auto caller = std::make_unique<TestCaller>(this->loop, this->vms[vm].settings.callers_address);
  this->SendAndWait(*caller, "open " + database);
  return caller;
}

std::string NodeFixture::SendAndWait(TestCaller& caller, const std::string& line) {
  const std::size_t before = caller.ready_count;
  caller.TakeReceived();
  caller.Send(line);
  this->RunUntil([&] { return caller.ready_count > before || caller.closed; });
  return caller.TakeReceived();
}

FakeEndpoint& NodeFixture::Primary() {
  for (const auto& endpoint : this->endpoints) {
    if (endpoint->Entry().name == this->group.primary) {
      return *endpoint;
    }
  }
  throw std::logic_error("no endpoint is the primary");
}

bool NodeFixture::IsMember(std::size_t vm) const { return this->store.Record()->IsMember(this->vms[vm].settings.vm); }

std::size_t NodeFixture::NonMember() const {
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    if (!this->IsMember(vm)) {
      return vm;
    }
  }
  throw std::logic_error("every VM is a member");
}

}  // namespace amaranthlane::proxy
