#include "core/leadership/record.h"

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::leadership {

namespace {

constexpr const char* kDocument = "leadership";

UnclosedEpoch ParseUnclosedEpoch(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  return {.epoch = reader.Unsigned("epoch"), .witnesses = reader.Strings("witnesses")};
}

}  // namespace

Holder ParseHolder(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  return {.vm = reader.String("vm"), .incarnation = reader.Unsigned("incarnation")};
}

nlohmann::json ToJson(const Holder& holder) { return {{"vm", holder.vm}, {"incarnation", holder.incarnation}}; }

LeadershipRecord ParseLeadershipRecord(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kDocument);
  LeadershipRecord record;
  record.epoch = reader.Unsigned("epoch");
  record.leader = ParseHolder(reader.Object("leader"));
  record.successors = reader.Strings("successors");
  record.witnesses = reader.Strings("witnesses");
  if (record.witnesses.empty()) {
    throw ParseError(kDocument, "witnesses", "at least one witness");
  }
  for (const nlohmann::json& unclosed : reader.Array("unclosed")) {
    record.unclosed.push_back(ParseUnclosedEpoch(unclosed));
  }
  record.update_id = reader.String("update_id");
  record.released = reader.Bool("released");
  return record;
}

nlohmann::json ToJson(const LeadershipRecord& record) {
  nlohmann::json unclosed = nlohmann::json::array();
  for (const UnclosedEpoch& earlier : record.unclosed) {
    unclosed.push_back({{"epoch", earlier.epoch}, {"witnesses", earlier.witnesses}});
  }
  return {{"epoch", record.epoch},
          {"leader", ToJson(record.leader)},
          {"successors", record.successors},
          {"witnesses", record.witnesses},
          {"unclosed", unclosed},
          {"update_id", record.update_id},
          {"released", record.released}};
}

}  // namespace amaranthlane::leadership
