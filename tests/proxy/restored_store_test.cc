#include <chrono>
#include <memory>

#include "proxy/node_fixture.h"

// What VMs do when the store comes back from an older copy: it has lost what it had acknowledged, and gives revisions
// out again.
namespace amaranthlane::proxy {
namespace {

using std::chrono::milliseconds;

class RestoredStoreTest : public LargeFleetTest {
 protected:
  // The store's content, after which it gives out some more revisions.
  InMemoryContent CopyAndAdvance() {
    const InMemoryContent copy = this->store;
    for (int change = 0; change < 20; ++change) {
      this->store.Publish();
    }
    this->RunFor(milliseconds(300));
    return copy;
  }

  bool AllVms(const std::function<bool(std::size_t vm)>& condition) {
    return this->RunUntil([&] {
      bool all = true;
      for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
        all = all && condition(vm);
      }
      return all;
    });
  }
};

// Guards against work for an endpoint that began to drain after a restore, at a revision below the known one.
TEST_F(RestoredStoreTest, AnEndpointThatDrainsAfterwardsGetsNoNewWorkOnAnyVm) {
  const InMemoryContent copy = this->CopyAndAdvance();
  this->store.Restore(copy);
  this->endpoints[2]->draining = true;
  this->PublishEndpoints();
  EXPECT_TRUE(this->AllVms([this](std::size_t vm) {
    return this->vms[vm].node->FindDispatcher("g")->Pool("e3")->DrainingLongerThan(Duration::zero(), BootClock::now());
  }));
}

// The same for an endpoint that leaves, and for VMs that learn of it from their peers only.
TEST_F(RestoredStoreTest, AnEndpointThatLeavesAfterwardsIsRemovedOnVmsWithoutTheStore) {
  const std::size_t vm = this->NonMember();
  const InMemoryContent copy = this->CopyAndAdvance();
  this->vms[vm].platform->reachable = false;
  this->store.Restore(copy);
  this->endpoints.pop_back();
  this->PublishEndpoints();
  EXPECT_TRUE(this->AllVms(
      [this](std::size_t each) { return this->vms[each].node->FindDispatcher("g")->Pool("e3") == nullptr; }));
}

// Guards against an older configuration that a VM takes from the restored store.
TEST_F(RestoredStoreTest, AnAcknowledgedConfigurationIsKeptAndSpreads) {
  const std::size_t vm = this->NonMember();
  const InMemoryContent copy = this->store;
  this->store.configuration.version = 4;
  this->store.Publish();
  ASSERT_TRUE(
      this->AllVms([this](std::size_t each) { return this->vms[each].node->CurrentConfiguration()->version == 4; }));
  this->store.Restore(copy);
  this->RunFor(milliseconds(300));
  this->AddVm();
  EXPECT_TRUE(this->RunUntil([this] {
    const Configuration* known = this->vms.back().node->CurrentConfiguration();
    return known != nullptr && known->version == 4;
  }));
  EXPECT_EQ(this->vms[vm].node->CurrentConfiguration()->version, 4U);
}

// Guards against a fleet that can't write the coordination record any more, because its condition names a revision
// that the restored store doesn't have.
TEST_F(RestoredStoreTest, ACrashedPrimaryIsReplacedAfterwards) {
  const InMemoryContent copy = this->CopyAndAdvance();
  this->store.Restore(copy);
  this->RunFor(milliseconds(300));
  this->endpoints[0]->Crash();
  EXPECT_TRUE(this->RunUntil([this] { return this->group.primary != "e1"; }));
  const auto caller = this->Open(1, "exact");
  EXPECT_TRUE(this->RunUntil([&] { return this->SendAndWait(*caller, "write w1").rfind("row", 0) == 0; }));
}

// Guards against writes at a primary that was replaced by a change which the store has lost.
TEST_F(RestoredStoreTest, AReplacedPrimaryIsNotUsedThoughTheStoreNamesItAgain) {
  const InMemoryContent copy = this->store;
  this->endpoints[0]->draining = true;
  this->PublishEndpoints();
  ASSERT_TRUE(this->RunUntil([this] { return this->group.primary != "e1"; }));
  this->endpoints[0]->draining = false;
  this->PublishEndpoints();
  this->RunFor(milliseconds(500));
  const EndpointName primary = this->group.primary;
  const std::uint64_t lost = this->store.Record()->version;
  this->store.Restore(copy);
  this->PublishEndpoints();
  this->AddVm();
  const auto caller = this->Open(this->vms.size() - 1, "exact");
  EXPECT_TRUE(this->RunUntil([&] { return this->SendAndWait(*caller, "write w1").rfind("row", 0) == 0; }));
  EXPECT_EQ(this->group.primary, primary);
  EXPECT_TRUE(this->RunUntil([&] { return this->store.Record()->version > lost; }));
  EXPECT_EQ(this->store.Record()->groups.at("g").primary, primary);
}

}  // namespace
}  // namespace amaranthlane::proxy
