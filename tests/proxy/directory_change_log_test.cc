#include "proxy/directory_change_log.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

namespace amaranthlane::proxy {
namespace {

failover::EndpointEntry DirectoryEntry(const EndpointName& name, const std::string& address) {
  failover::EndpointEntry entry;
  entry.name = name;
  entry.address = address;
  return entry;
}

// Replaces the directory and records the changes, as a VM does.
void Advance(DirectoryChangeLog& changes, DirectorySnapshot& own, DirectorySnapshot next) {
  changes.Append(own.endpoints, next.endpoints, next.revision);
  own = std::move(next);
}

TEST(DirectoryChangeLog, ReturnsOnlyNewChanges) {
  DirectoryChangeLog changes;
  DirectorySnapshot own;
  Advance(changes, own, {{1, 5}, {{"a", DirectoryEntry("a", "1")}, {"b", DirectoryEntry("b", "1")}}});
  Advance(
      changes, own,
      {{1, 7}, {{"a", DirectoryEntry("a", "1")}, {"b", DirectoryEntry("b", "2")}, {"c", DirectoryEntry("c", "1")}}});
  Advance(changes, own, {{1, 9}, {{"b", DirectoryEntry("b", "2")}, {"c", DirectoryEntry("c", "1")}}});
  const DirectoryUpdate update = changes.ChangesSince({1, 7}, own);
  EXPECT_EQ(update.base, 7U);
  EXPECT_EQ(update.revision.revision, 9U);
  EXPECT_TRUE(update.endpoints.empty());
  EXPECT_EQ(update.removed, std::vector<EndpointName>{"a"});
  EXPECT_EQ(changes.ChangesSince({1, 5}, own).endpoints.size(), 2U);
}

TEST(DirectoryChangeLog, ReturnsTheWholeDirectoryForRevisionsThatItDoesNotCover) {
  DirectoryChangeLog changes;
  DirectorySnapshot own;
  Advance(changes, own, {{1, 5}, {{"a", DirectoryEntry("a", "1")}}});
  Advance(changes, own, {{1, 7}, {{"a", DirectoryEntry("a", "2")}, {"b", DirectoryEntry("b", "1")}}});
  // The last ones are of eras in which the store was before or after it was restored.
  for (const StoreRevision known : {StoreRevision{1, 0}, {1, 4}, {1, 8}, {0, 7}, {2, 6}}) {
    const DirectoryUpdate update = changes.ChangesSince(known, own);
    EXPECT_EQ(update.base, 0U);
    EXPECT_EQ(update.endpoints, own.endpoints);
  }
}

// One VM reads the store. The other gets updates from the first VM at some steps, and reads the store at others. In one
// of `restore_interval` steps the store is restored from an older copy; 0: never.
void CheckUpdates(unsigned restore_interval) {
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    std::mt19937 random(seed);
    DirectoryChangeLog changes;
    DirectorySnapshot store{{1, 1}, {}};
    DirectorySnapshot copy = store;
    DirectorySnapshot own;
    DirectorySnapshot peer;
    int full_updates = 0;
    for (int step = 0; step < 60; ++step) {
      const EndpointName name = "e" + std::to_string(random() % 6);
      if (restore_interval > 0 && random() % restore_interval == 0) {
        copy.revision.era = store.revision.era + 1;
        store = copy;
      } else if (restore_interval > 0 && random() % 4 == 0) {
        copy = store;
      }
      ++store.revision.revision;
      if (random() % 3 == 0) {
        store.endpoints.erase(name);
      } else {
        store.endpoints[name] = DirectoryEntry(name, std::to_string(random() % 3));
      }
      if (random() % 2 == 0) {
        Advance(changes, own, store);
      }
      const auto choice = random() % 8;
      if (choice == 0) {
        peer = store;
      } else if (choice < 4 && own.revision > peer.revision) {
        const std::optional<DirectorySnapshot> applied = ApplyUpdate(changes.ChangesSince(peer.revision, own), peer);
        full_updates += applied ? 0 : 1;
        peer = applied ? *applied : *ApplyUpdate(changes.ChangesSince({}, own), peer);
        ASSERT_EQ(peer.revision, own.revision);
        ASSERT_EQ(peer.endpoints, own.endpoints) << "seed " << seed << ", step " << step;
      }
    }
    EXPECT_LT(full_updates, 10) << seed;
  }
}

TEST(DirectoryChangeLog, UpdatesLeadToTheSameDirectory) { CheckUpdates(0); }

// Guards against updates that are put together from revisions that the store gave out twice.
TEST(DirectoryChangeLog, UpdatesLeadToTheSameDirectoryThoughTheStoreIsRestored) { CheckUpdates(10); }

}  // namespace
}  // namespace amaranthlane::proxy
