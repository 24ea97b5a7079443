#include <chrono>
#include <string>

#include "proxy/node_fixture.h"

// Which configuration a session is served by when another VM relays it.
namespace amaranthlane::proxy {
namespace {

using std::chrono::milliseconds;

constexpr std::size_t kConnectionLimit = 6;
constexpr char kDone[] = "complete\n";

// A fleet in which some VMs relay sessions to the others. No VM learns of a change of the configuration by itself;
// Apply() gives it to single VMs.
class RelayedConfigurationTest : public LargeFleetTest {
 protected:
  RelayedConfigurationTest() {
    this->store.configuration.version = 2;
    this->store.configuration.groups["g"].max_connections = kConnectionLimit;
    this->store.Publish();
    EXPECT_TRUE(this->RunUntil([this] { return this->RelayingVm() < this->vms.size(); }));
    this->RunFor(milliseconds(1500));
    this->relaying_vm = this->RelayingVm();
  }

  std::size_t RelayingVm() {
    std::size_t vm = 0;
    while (vm < this->vms.size() && this->vms[vm].node->GatewaysFor("g", {}).empty()) {
      ++vm;
    }
    return vm;
  }

  // Replaces the configuration in the store by one that no VM has yet.
  void Change(const std::function<void(Configuration&)>& change) {
    for (Vm& vm : this->vms) {
      vm.platform->reachable = false;
    }
    ++this->store.configuration.version;
    change(this->store.configuration);
    this->store.Publish();
  }

  // Gives a VM the store's configuration.
  void Apply(std::size_t vm) {
    this->vms[vm].platform->reachable = true;
    this->vms[vm].platform->Refresh();
    this->RunUntil(
        [&] { return this->vms[vm].node->CurrentConfiguration()->version == this->store.configuration.version; });
  }

  void ApplyToGateways() {
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      if (this->vms[vm].node->GatewaysFor("g", {}).empty()) {
        this->Apply(vm);
      }
    }
  }

  std::size_t relaying_vm = 0;
};

// Guards against a gateway that opens a session by an older configuration than the VM that relays it.
TEST_F(RelayedConfigurationTest, ARouteThatWasAddedIsServedThoughNoGatewayHasItYet) {
  this->Change([](Configuration& configuration) { configuration.routes["fresh"] = configuration.routes["exact"]; });
  this->Apply(this->relaying_vm);
  const auto caller = this->Open(this->relaying_vm, "fresh");
  EXPECT_EQ(this->SendAndWait(*caller, "write w1"), std::string("row e1 w1\n") + kDone + "ready 0 0 0\n");
}

// Guards against an open session that its gateway goes on serving by an older configuration than the VM that relays it.
TEST_F(RelayedConfigurationTest, AnOpenSessionIsServedByTheConfigurationOfTheRelayingVm) {
  const auto caller = this->Open(this->relaying_vm, "exact");
  ASSERT_EQ(this->SendAndWait(*caller, "write w1").rfind("row", 0), 0U);
  this->Change([](Configuration& configuration) { configuration.routes.erase("exact"); });
  this->Apply(this->relaying_vm);
  const std::string answer = this->SendAndWait(*caller, "write w2");
  EXPECT_EQ(answer.rfind("failure", 0), 0U) << answer;
  EXPECT_EQ(this->group.log.size(), 1U);
}

// Guards against a VM that serves a session by an older configuration than the gateway that refused it.
TEST_F(RelayedConfigurationTest, ARouteThatTheGatewaysHaveDroppedIsNotServedLocally) {
  this->Change([](Configuration& configuration) { configuration.routes.erase("exact"); });
  this->ApplyToGateways();
  TestCaller caller(this->loop, this->vms[this->relaying_vm].settings.callers_address);
  caller.Send("open exact");
  ASSERT_TRUE(this->RunUntil([&] { return !caller.received.empty(); }));
  EXPECT_EQ(caller.received.rfind("failure", 0), 0U) << caller.received;
}

// Guards against a VM whose sessions are served by a newer configuration at one gateway and by its own elsewhere.
TEST_F(RelayedConfigurationTest, AVmThatLearnsOfANewerConfigurationServesNothingByItsOwn) {
  const auto relayed = this->Open(this->relaying_vm, "exact");
  ASSERT_EQ(this->SendAndWait(*relayed, "write w1").rfind("row", 0), 0U);
  this->Change([](Configuration& configuration) { configuration.routes.erase("own"); });
  this->ApplyToGateways();
  ASSERT_EQ(this->SendAndWait(*relayed, "write w2").rfind("row", 0), 0U);
  TestCaller caller(this->loop, this->vms[this->relaying_vm].settings.callers_address);
  caller.Send("open own");
  ASSERT_TRUE(this->RunUntil([&] { return !caller.received.empty(); }));
  EXPECT_EQ(caller.received.rfind("failure", 0), 0U) << caller.received;
}

// Guards against a write that runs by itself, though its caller sent it ahead in a transaction that was refused.
TEST_F(RelayedConfigurationTest, NothingOfARefusedTransactionRuns) {
  std::size_t vm = 0;
  while (!this->vms[vm].node->GatewaysFor("g", {}).empty()) {
    ++vm;
  }
  const auto caller = this->Open(vm, "exact");
  this->Change([](Configuration& configuration) { configuration.routes["fresh"] = configuration.routes["exact"]; });
  this->vms[vm].node->LearnConfiguration({this->store.configuration.version, "127.0.0.1:1"});
  const std::size_t answered = caller->ready_count;
  caller->Send("begin b1\nwrite w1\ncommit c1");
  ASSERT_TRUE(this->RunUntil([&] { return caller->ready_count > answered; }));
  EXPECT_EQ(caller->received.rfind("failure", 0), 0U) << caller->received;
  this->Apply(vm);
  ASSERT_TRUE(this->RunUntil([&] { return caller->ready_count == answered + 3; }));
  EXPECT_TRUE(this->group.log.empty()) << caller->received;
}

// Guards against VMs that keep an old configuration because they learn only from members, none of which has the store.
TEST_F(LargeFleetTest, AConfigurationIsInForceInTimeWhenNoMemberHasTheStore) {
  constexpr milliseconds kInForceTime{3000};
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    this->vms[vm].platform->reachable = !this->IsMember(vm);
  }
  this->store.configuration.version = 9;
  this->store.Publish();
  this->RunFor(kInForceTime);
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    EXPECT_EQ(this->vms[vm].node->CurrentConfiguration()->version, 9U) << vm;
  }
}

}  // namespace
}  // namespace amaranthlane::proxy
