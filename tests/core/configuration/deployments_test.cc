#include <gtest/gtest.h>

#include <fstream>
#include <string>

#include "common/settings.h"
#include "core/configuration/caller_directory.h"
#include "core/configuration/object_validation.h"
#include "core/configuration/requirements_resolver.h"

namespace amaranthlane::configuration {
namespace {

using std::chrono::milliseconds;

// Loads the objects of a deployment under deploy/ and validates each like an edit.
ObjectStore LoadDeployment(const std::string& deployment) {
  std::ifstream file(std::string(AMARANTHLANE_DEPLOY_DIR) + "/" + deployment + "/objects.json");
  ObjectStore store;
  ObjectVersion version = 0;
  const nlohmann::json document = nlohmann::json::parse(file);
  for (const nlohmann::json& object : document.at("objects")) {
    ValidateObject(object.at("kind").get<std::string>(), object.at("name").get<std::string>(), object.at("value"));
    store.Apply({object.at("kind"), object.at("name"), ++version, false, object.at("value")});
  }
  return store;
}

ServiceRequirements Resolve(const ObjectStore& store, const char* kind, AccessMode mode) {
  RequirementsResolver resolver;
  resolver.Refresh(store);
  return resolver.Resolve({"caller", "group", kind, mode});
}

TEST(DeploymentsTest, SettingsFilesLackOnlyVmAndDataCentre) {
  for (const char* deployment : {"register", "rack"}) {
    const std::string path = std::string(AMARANTHLANE_DEPLOY_DIR) + "/" + deployment + "/vm.yaml";
    EXPECT_THROW(LoadSettings(path), SettingsError);
    EXPECT_NO_THROW(LoadSettings(path, {{"vm", "a-1"}, {"data_centre", "a"}}));
  }
}

TEST(DeploymentsTest, RegisterSelectorsGiveTheExpectedRequirements) {
  const ObjectStore store = LoadDeployment("register");
  const ServiceRequirements lodgement = Resolve(store, "lodgement", AccessMode::kWrite);
  EXPECT_EQ(lodgement.rank, Rank::kUrgent);
  EXPECT_EQ(lodgement.acknowledgement, AcknowledgementLevel::kReplicated);
  EXPECT_FALSE(lodgement.idempotent);
  EXPECT_TRUE(lodgement.read_your_writes);
  EXPECT_EQ(Resolve(store, "finding", AccessMode::kWrite).rank, Rank::kNormal);
  const ServiceRequirements check = Resolve(store, "wrap-check", AccessMode::kRead);
  EXPECT_EQ(check.rank, Rank::kBulk);
  EXPECT_EQ(check.max_staleness, milliseconds(5000));
  CallerDirectory directory;
  directory.Refresh(store);
  EXPECT_EQ(*directory.Authenticate("example-key-maker"), "maker");
}

TEST(DeploymentsTest, RackSelectorsGiveTheExpectedRequirements) {
  const ObjectStore store = LoadDeployment("rack");
  EXPECT_EQ(Resolve(store, "order-confirmation", AccessMode::kWrite).rank, Rank::kUrgent);
  EXPECT_FALSE(Resolve(store, "price-revision", AccessMode::kWrite).idempotent);
  const ServiceRequirements stock = Resolve(store, "stock-lookup", AccessMode::kRead);
  EXPECT_EQ(stock.rank, Rank::kNormal);
  EXPECT_EQ(stock.max_staleness, Duration::zero());
  const ServiceRequirements catalogue = Resolve(store, "catalogue-read", AccessMode::kRead);
  EXPECT_EQ(catalogue.rank, Rank::kBulk);
  EXPECT_EQ(catalogue.max_staleness, milliseconds(5000));
  EXPECT_GT(catalogue.floor, 0.0);
}

}  // namespace
}  // namespace amaranthlane::configuration
