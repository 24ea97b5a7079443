#ifndef AMARANTHLANE_PROXY_CONFIGURATION_H_
#define AMARANTHLANE_PROXY_CONFIGURATION_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/access/access_table.h"
#include "core/types.h"

namespace amaranthlane::proxy {

// Which commits a read of a route must see.
enum class ReadConsistency : std::uint8_t {
  // All acknowledged commits; only the primary can serve the read.
  kPrimary,
  // All commits that were acknowledged longer ago than the route's maximum staleness.
  kBoundedStaleness,
  // The same, and all commits of the session itself.
  kReadYourWrites,
};

// How sessions that open a database of this name are served.
struct Route {
  std::string name;
  std::string database;
  GroupName group;
  ReadConsistency consistency = ReadConsistency::kPrimary;
  Duration max_staleness{};
  Rank rank = Rank::kNormal;
  // Callers need no API key.
  bool is_public = false;
  // The time limit of a statement, from its arrival to its answer.
  Duration statement_timeout = std::chrono::seconds(1);
  // The time that a statement should take at most; slower ones are logged.
  Duration target_latency = std::chrono::milliseconds(200);

  bool operator==(const Route&) const = default;
};

struct GroupSettings {
  // Connections that each endpoint accepts from all VMs together.
  std::uint64_t max_connections = 1;
  // Replicas that must have received a commit before it is acknowledged.
  std::uint64_t synchronous_replicas = 0;
};

// The number of invalid entries that are told one by one.
inline constexpr std::size_t kMaxConfigurationProblems = 20;

// The operators' configuration. Each change has a higher version.
struct Configuration {
  std::uint64_t version = 0;
  // By database name.
  std::map<std::string, Route> routes;
  std::map<GroupName, GroupSettings> groups;
  access::AccessTable access;
  // A transaction that is idle for longer may be aborted.
  Duration idle_transaction_timeout = std::chrono::seconds(3);
  // What was left out because it is invalid, for the log; at most kMaxConfigurationProblems.
  std::vector<std::string> problems;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_CONFIGURATION_H_
