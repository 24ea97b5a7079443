#include "core/configuration/object_validation.h"

#include <gtest/gtest.h>

#include "common/error.h"
#include "core/configuration/platform_object.h"
#include "core/replicas/group_record.h"

namespace amaranthlane::configuration {
namespace {

replicas::GroupRecord RecordAfterPromotion() {
  replicas::GroupRecord record;
  record.group = "group-1";
  record.region = "region-1";
  record.term = 2;
  record.primary = "endpoint-2";
  record.instances = {{"endpoint-1", "127.0.0.1:1", "dc-1", false}, {"endpoint-2", "127.0.0.1:2", "dc-2", false}};
  record.slots = 5;
  record.connections = 35;
  record.history = {{2, {1, 8}}};
  return record;
}

TEST(ObjectValidationTest, AGroupThatWasPromotedCanBeEdited) {
  nlohmann::json value = replicas::ToJson(RecordAfterPromotion());
  value["instances"][0]["state"] = "leaving";
  EXPECT_NO_THROW(ValidateObject(kDatabaseGroupsKind, "group-1", value));
}

TEST(ObjectValidationTest, RejectsGroupsThatALeaderCannotUse) {
  for (const auto& [key, bad] : {std::pair{"address", "127.0.0.1"}, std::pair{"endpoint", "endpoint-2"},
                                 std::pair{"state", "gone"}, std::pair{"adress", "127.0.0.1:1"}}) {
    nlohmann::json value = replicas::ToJson(RecordAfterPromotion());
    value["instances"][0][key] = bad;
    EXPECT_THROW(ValidateObject(kDatabaseGroupsKind, "group-1", value), ParseError) << key;
  }
  nlohmann::json without_slots = replicas::ToJson(RecordAfterPromotion());
  without_slots["slots"] = 0;
  EXPECT_THROW(ValidateObject(kDatabaseGroupsKind, "group-1", without_slots), ParseError);
}

}  // namespace
}  // namespace amaranthlane::configuration
