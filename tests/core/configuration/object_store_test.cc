#include "core/configuration/object_store.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <random>

#include "common/error.h"

namespace amaranthlane::configuration {
namespace {

constexpr std::size_t kSmallMessage = 200;

// Generates a history of changes, ordered by version.
std::vector<PlatformObject> ArbitraryHistory() {
  const auto names = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 12));
  std::vector<PlatformObject> history;
  for (const int name : names) {
    const bool deleted = *rc::gen::inRange(0, 4) == 0;
    const std::string kind = name % 2 == 0 ? kLabelsKind : kSelectorsKind;
    const ObjectVersion version = history.size() + 1;
    const nlohmann::json value = deleted ? nlohmann::json() : nlohmann::json{{"v", version}};
    history.push_back({kind, "object-" + std::to_string(name), version, deleted, value});
  }
  return history;
}

ObjectStore StoreOf(const std::vector<PlatformObject>& history) {
  ObjectStore store;
  for (const PlatformObject& object : history) {
    store.Apply(object);
  }
  store.AdvanceCompleteThrough(history.size());
  return store;
}

// Fails unless `to` holds every object of `from` up to its own complete version.
void CheckCompleteVersion(const ObjectStore& from, const ObjectStore& to) {
  for (const char* kind : {kLabelsKind, kSelectorsKind}) {
    from.ForEach(kind, [&to](const PlatformObject& object) {
      const PlatformObject* held = to.FindWithTombstone(object.kind, object.name);
      RC_ASSERT(object.version > to.CompleteThrough() || (held != nullptr && held->version >= object.version));
    });
  }
}

// Pulls differences page by page, as a VM does.
void PullAll(const ObjectStore& from, ObjectStore& to, DifferencesRequest request) {
  for (bool more = true; more;) {
    const DifferencesReply reply = from.Differences(request, kSmallMessage);
    RC_ASSERT(ParseDifferencesReply(ToJson(reply)) == reply);
    for (const PlatformObject& object : reply.objects) {
      to.Apply(object);
    }
    if (request.buckets.empty() && request.after <= to.CompleteThrough()) {
      to.AdvanceCompleteThrough(reply.complete_through);
    }
    // A request by buckets repairs a store whose complete version is wrong, so it is not checked on the way.
    if (request.buckets.empty()) {
      CheckCompleteVersion(from, to);
    }
    more = reply.more;
    request.after = more ? reply.objects.back().version : 0;
  }
}

RC_GTEST_PROP(ObjectStoreTest, ConvergesAndNeverRevertsUnderReorderedAndRepeatedChanges, ()) {
  const std::vector<PlatformObject> history = ArbitraryHistory();
  std::vector<PlatformObject> changes = history;
  const auto repeats = *rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(0, 64));
  for (const std::size_t repeat : repeats) {
    if (!history.empty()) {
      changes.push_back(history[repeat % history.size()]);
    }
  }
  std::shuffle(changes.begin(), changes.end(), std::mt19937_64(*rc::gen::arbitrary<std::uint64_t>()));
  ObjectStore store;
  std::map<std::string, ObjectVersion> seen;
  for (const PlatformObject& change : changes) {
    const bool applied = store.Apply(change);
    const PlatformObject* held = store.FindWithTombstone(change.kind, change.name);
    RC_ASSERT(held != nullptr);
    RC_ASSERT(held->version >= seen[change.name]);
    RC_ASSERT(applied == (held->version > seen[change.name]));
    seen[change.name] = held->version;
  }
  store.AdvanceCompleteThrough(history.size());
  RC_ASSERT(store.Digest() == StoreOf(history).Digest());
}

RC_GTEST_PROP(ObjectStoreTest, DifferencesRestoreLostChanges, ()) {
  const std::vector<PlatformObject> history = ArbitraryHistory();
  const ObjectStore full = StoreOf(history);
  ObjectStore lossy;
  const ObjectVersion complete = *rc::gen::inRange<ObjectVersion>(0, history.size() + 1);
  for (const PlatformObject& object : history) {
    if (object.version <= complete || *rc::gen::arbitrary<bool>()) {
      lossy.Apply(object);
    }
  }
  lossy.AdvanceCompleteThrough(complete);
  PullAll(full, lossy, {"dub-a-1", complete, {}});
  RC_ASSERT(lossy.Digest() == full.Digest());
}

RC_GTEST_PROP(ObjectStoreTest, BucketsRevealDifferencesBelowTheCompleteVersion, ()) {
  const std::vector<PlatformObject> history = ArbitraryHistory();
  const ObjectStore full = StoreOf(history);
  ObjectStore lossy;
  for (const PlatformObject& object : history) {
    if (*rc::gen::arbitrary<bool>()) {
      lossy.Apply(object);
    }
  }
  lossy.AdvanceCompleteThrough(history.size());
  const DifferencesRequest request{"dub-a-1", 0, {lossy.Buckets(kLabelsKind), lossy.Buckets(kSelectorsKind)}};
  RC_ASSERT(ParseDifferencesRequest(ToJson(request)) == request);
  PullAll(full, lossy, request);
  RC_ASSERT(lossy.Digest() == full.Digest());
}

TEST(ObjectStoreTest, AListTurnsMissingObjectsIntoTombstones) {
  ObjectStore store;
  store.Apply({kLabelsKind, "old", 3, false, {{"v", 1}}});
  store.Apply({kLabelsKind, "newer-than-list", 12, false, {{"v", 1}}});
  EXPECT_TRUE(store.ApplyList(kLabelsKind, 10, {{kLabelsKind, "other", 5, false, {{"v", 1}}}}));
  EXPECT_EQ(store.Find(kLabelsKind, "old"), nullptr);
  EXPECT_EQ(store.FindWithTombstone(kLabelsKind, "old")->version, 10U);
  EXPECT_NE(store.Find(kLabelsKind, "newer-than-list"), nullptr);
  EXPECT_FALSE(store.Apply({kLabelsKind, "old", 3, false, {{"v", 1}}}));
}

TEST(ObjectStoreTest, ObjectsOfOneVersionAreNeverSplitBetweenPages) {
  ObjectStore store;
  for (int i = 0; i < 5; ++i) {
    store.Apply({kLabelsKind, "object-" + std::to_string(i), 1, false, {{"v", i}}});
  }
  store.ApplyList(kLabelsKind, 9, {});
  const DifferencesReply reply = store.Differences({"dub-a-1", 0, {}}, 1);
  EXPECT_EQ(reply.objects.size(), 5U);
  EXPECT_FALSE(reply.more);
}

TEST(ObjectStoreTest, MessagesAreParsedStrictly) {
  EXPECT_THROW(ParsePlatformObject({{"kind", "labels"}, {"name", "a"}, {"version", 1}}), ParseError);
  EXPECT_THROW(ParseConfigurationDigest({{"complete_through", 1}, {"kinds", {{{"kind", "a"}}}}}), ParseError);
  EXPECT_THROW(ParseDifferencesReply({{"complete_through", 1}, {"objects", nlohmann::json::array()}, {"more", true}}),
               ParseError);
  const ConfigurationDigest digest{7, {{kLabelsKind, 0xffffffffffffffffULL, 7}}};
  EXPECT_EQ(ParseConfigurationDigest(ToJson(digest)), digest);
}

// If different digests had the same summary, two VMs would never exchange their differences.
RC_GTEST_PROP(ObjectStoreTest, DifferentDigestsHaveDifferentSummaries, ()) {
  const ConfigurationDigest one = StoreOf(ArbitraryHistory()).Digest();
  const ConfigurationDigest other = StoreOf(ArbitraryHistory()).Digest();
  RC_ASSERT((Summarize(one).hash == Summarize(other).hash) == (one.kinds == other.kinds));
}

TEST(ObjectStoreTest, ASummaryDependsOnWhichKindAHashBelongsTo) {
  const ConfigurationDigest one{7, {{kLabelsKind, 5, 7}, {kSelectorsKind, 6, 7}}};
  const ConfigurationDigest other{7, {{kLabelsKind, 6, 7}, {kSelectorsKind, 5, 7}}};
  EXPECT_NE(Summarize(one).hash, Summarize(other).hash);
  EXPECT_EQ(ParseDigestSummary(ToJson(Summarize(one))), Summarize(one));
}

}  // namespace
}  // namespace amaranthlane::configuration
