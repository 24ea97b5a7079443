#ifndef AMARANTHLANE_DAEMON_ENDPOINT_TABLE_H_
#define AMARANTHLANE_DAEMON_ENDPOINT_TABLE_H_

#include <memory>
#include <optional>
#include <vector>

#include "core/replicas/group_record.h"
#include "core/scheduling/group_scheduler.h"
#include "daemon/endpoint_connection_pool.h"

namespace amaranthlane::daemon {

// One endpoint of a led group. Its index doesn't change while this VM leads the group.
struct EndpointRow {
  EndpointName name;
  std::unique_ptr<EndpointConnectionPool> pool;
  // False if the endpoint is leaving, has moved to another address, or is no longer in the group's record.
  bool accepts_work = false;
};

// The endpoints of a led group with their connections, ordered by index.
class EndpointTable {
 public:
  EndpointTable(boost::asio::io_context& loop, ConnectionIdGenerator& id_generator);

  // Applies a new record of the group: adds its endpoints, sets the scheduler's slots for each endpoint, and closes the
  // idle connections of endpoints that no longer accept work.
  void Apply(const replicas::GroupRecord& record, scheduling::GroupScheduler& scheduler);

  std::optional<scheduling::EndpointIndex> IndexOf(const EndpointName& name) const;
  const EndpointName& NameOf(scheduling::EndpointIndex index) const;
  EndpointConnectionPool& PoolOf(scheduling::EndpointIndex index);
  // The pool that the connection belongs to, or null if the connection is closed.
  EndpointConnectionPool* FindPoolOfConnection(outcomes::ConnectionId connection);
  const std::vector<EndpointRow>& Rows() const;

 private:
  EndpointRow& FindOrAdd(const replicas::Instance& instance, std::uint64_t connections);

  boost::asio::io_context& loop;
  ConnectionIdGenerator& id_generator;
  std::vector<EndpointRow> rows;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_ENDPOINT_TABLE_H_
