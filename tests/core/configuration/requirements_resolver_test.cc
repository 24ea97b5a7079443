#include "core/configuration/requirements_resolver.h"

#include <gtest/gtest.h>

#include "common/error.h"
#include "core/configuration/caller_directory.h"
#include "core/configuration/object_validation.h"

namespace amaranthlane::configuration {
namespace {

class RequirementsResolverTest : public testing::Test {
 protected:
  void Put(const char* kind, const std::string& name, const char* value) {
    this->store.Apply({kind, name, ++this->version, false, nlohmann::json::parse(value)});
  }

  ServiceRequirements Resolve(std::string_view kind, AccessMode mode = AccessMode::kWrite) {
    this->resolver.Refresh(this->store);
    return this->resolver.Resolve({"maker", "wrap-register-1", kind, mode});
  }

  ObjectStore store;
  RequirementsResolver resolver;
  ObjectVersion version = 0;
};

TEST_F(RequirementsResolverTest, ARequestWithoutAMatchingSelectorGetsTheDefaults) {
  EXPECT_EQ(this->Resolve("lodgement"), ServiceRequirements());
  EXPECT_TRUE(this->Resolve("lodgement", AccessMode::kRead).idempotent);
}

TEST_F(RequirementsResolverTest, HigherPriorityThenLaterNameWins) {
  this->Put(kSelectorsKind, "c", R"({"match":[],"priority":1,"owes":{"rank":"bulk","floor":0.2}})");
  this->Put(kSelectorsKind, "b", R"({"match":[],"priority":5,"owes":{"rank":"normal","freshness_ms":9}})");
  this->Put(kSelectorsKind, "a", R"({"match":[],"priority":5,"owes":{"rank":"urgent","freshness_ms":7}})");
  const ServiceRequirements requirements = this->Resolve("lodgement");
  EXPECT_EQ(requirements.rank, Rank::kNormal);
  EXPECT_EQ(requirements.max_staleness, std::chrono::milliseconds(9));
  EXPECT_DOUBLE_EQ(requirements.floor, 0.2);
}

TEST_F(RequirementsResolverTest, EachMatchOperatorSelectsByItsRule) {
  this->Put(kLabelsKind, "work", R"({"kinds":["lodgement"],"labels":{"urgency":"high"}})");
  this->Put(kLabelsKind, "makers", R"({"callers":["maker"],"labels":{"trade":"maker"}})");
  const auto matches = [this](const std::string& match) {
    this->Put(kSelectorsKind, "s", (R"({"owes":{"rank":"urgent"},"match":[)" + match + "]}").c_str());
    return this->Resolve("lodgement").rank == Rank::kUrgent;
  };
  EXPECT_TRUE(matches(R"({"key":"kind.urgency","equals":"high"})"));
  EXPECT_FALSE(matches(R"({"key":"kind.urgency","equals":"low"})"));
  EXPECT_TRUE(matches(R"({"key":"caller.trade","in":["maker","dealer"]})"));
  EXPECT_FALSE(matches(R"({"key":"caller.trade","in":[]})"));
  EXPECT_TRUE(matches(R"({"key":"group.tier","not_in":["test"]})"));
  EXPECT_FALSE(matches(R"({"key":"group.name","not_in":["wrap-register-1"]})"));
  EXPECT_TRUE(matches(R"({"key":"mode","exists":true})"));
  EXPECT_TRUE(matches(R"({"key":"group.tier","exists":false})"));
  EXPECT_FALSE(matches(R"({"key":"kind.urgency","equals":"high"},{"key":"mode","equals":"read"})"));
}

TEST_F(RequirementsResolverTest, AnEditTakesEffectAtTheNextRefresh) {
  this->Put(kSelectorsKind, "s", R"({"match":[],"owes":{"rank":"urgent"}})");
  EXPECT_EQ(this->Resolve("lodgement").rank, Rank::kUrgent);
  this->Put(kLabelsKind, "l", R"({"kinds":["lodgement"],"labels":{"slow":"yes"}})");
  this->Put(kSelectorsKind, "s", R"({"match":[{"key":"kind.slow","exists":true}],"owes":{"rank":"bulk"}})");
  EXPECT_EQ(this->Resolve("lodgement").rank, Rank::kBulk);
  this->store.Apply({kSelectorsKind, "s", ++this->version, true, nullptr});
  EXPECT_EQ(this->Resolve("lodgement").rank, Rank::kNormal);
  EXPECT_FALSE(this->resolver.Refresh(this->store));
}

TEST_F(RequirementsResolverTest, AnInvalidObjectIsIgnoredAndReported) {
  this->Put(kSelectorsKind, "broken", R"({"match":[],"owes":{"rank":"first"}})");
  EXPECT_EQ(this->Resolve("lodgement"), ServiceRequirements());
  ASSERT_EQ(this->resolver.InvalidObjects().size(), 1U);
  EXPECT_EQ(this->resolver.InvalidObjects()[0].name, "broken");
}

TEST_F(RequirementsResolverTest, CallersAreAuthenticatedByTheHashOfTheirKey) {
  // The SHA-256 hash of "abc".
  constexpr const char* kHash = "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad";
  this->Put(kCallersKind, "maker", (std::string(R"({"key_sha256":[")") + kHash + "\"]}").c_str());
  CallerDirectory directory;
  EXPECT_EQ(directory.Authenticate("abc"), nullptr);
  directory.Refresh(this->store);
  ASSERT_NE(directory.Authenticate("abc"), nullptr);
  EXPECT_EQ(*directory.Authenticate("abc"), "maker");
  EXPECT_EQ(directory.Authenticate(kHash), nullptr);
  this->store.Apply({kCallersKind, "maker", ++this->version, true, nullptr});
  directory.Refresh(this->store);
  EXPECT_EQ(directory.Authenticate("abc"), nullptr);
}

TEST(ObjectValidationTest, RejectsInvalidEdits) {
  const auto expect_rejected = [](const char* kind, const char* value) {
    EXPECT_THROW(ValidateObject(kind, "name", nlohmann::json::parse(value)), ParseError) << value;
  };
  expect_rejected(kSelectorsKind, R"({"match":[],"owes":{}})");
  expect_rejected(kSelectorsKind, R"({"match":[],"owes":{"floor":1.5}})");
  expect_rejected(kSelectorsKind, R"({"match":[],"owes":{"ranks":"urgent"}})");
  expect_rejected(kSelectorsKind, R"({"match":[{"key":"a"}],"owes":{"floor":1}})");
  expect_rejected(kSelectorsKind, R"({"match":[{"key":"a","equals":"b","exists":true}],"owes":{"floor":1}})");
  expect_rejected(kSelectorsKind, R"({"match":[],"owes":{"time_limit_ms":0}})");
  expect_rejected(kLabelsKind, R"({"kinds":["k"],"labels":{}})");
  expect_rejected(kLabelsKind, R"({"labels":{"a":"b"}})");
  expect_rejected(kLabelsKind, R"({"kinds":["k"],"labels":{"name":"b"}})");
  expect_rejected(kCallersKind, R"({"key_sha256":["abc"]})");
  expect_rejected(kCallersKind, R"({"key":"secret"})");
  expect_rejected(kLeadershipKind, R"({})");
  expect_rejected(kDatabaseGroupsKind,
                  R"({"group":"name","region":"r","term":1,"primary":"x","slots":1,"connections":1,"instances":[]})");
}

}  // namespace
}  // namespace amaranthlane::configuration
