#ifndef AMARANTHLANE_PROXY_CONFIGURATION_H_
#define AMARANTHLANE_PROXY_CONFIGURATION_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "core/types.h"

namespace amaranthlane::proxy {

// What a read of a route must have seen.
enum class ReadFreshness : std::uint8_t {
  // Every acknowledged commit.
  kPrimary,
  // Every commit acknowledged longer ago than the greatest age.
  kBounded,
  // The same, and all commits of the same session.
  kOwnWrites,
};

// What is owed to the sessions of one database name.
struct Route {
  std::string name;
  std::string database;
  GroupName group;
  ReadFreshness freshness = ReadFreshness::kPrimary;
  Duration greatest_age{};
  Rank rank = Rank::kNormal;
  // Limits a single statement.
  Duration statement_limit = std::chrono::seconds(1);
  // What an operation should take.
  Duration target = std::chrono::milliseconds(200);

  bool operator==(const Route&) const = default;
};

struct GroupLimits {
  // Connections that an endpoint takes from all VMs together.
  std::uint64_t connections = 1;
  // Replicas that have a commit before it is acknowledged.
  std::uint64_t synchronous_replicas = 0;
};

// The operators' configuration. Versions only rise.
struct Configuration {
  std::uint64_t version = 0;
  // By database name.
  std::map<std::string, Route> routes;
  std::map<GroupName, GroupLimits> groups;
  // A transaction that rests for longer may be ended.
  Duration idle_transaction_limit = std::chrono::seconds(3);
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_CONFIGURATION_H_
