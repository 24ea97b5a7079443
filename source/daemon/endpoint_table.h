#ifndef AMARANTHLANE_DAEMON_ENDPOINT_TABLE_H_
#define AMARANTHLANE_DAEMON_ENDPOINT_TABLE_H_

#include <memory>
#include <optional>
#include <vector>

#include "core/replicas/group_record.h"
#include "core/scheduling/group_scheduler.h"
#include "daemon/endpoint_connection_pool.h"

namespace amaranthlane::daemon {

// One endpoint of a led group. Its index stays the same for as long as the group is led.
struct EndpointRow {
  EndpointName name;
  std::unique_ptr<EndpointConnectionPool> pool;
  // False: leaving, or no longer in the group's record.
  bool accepts_work = false;
};

// The endpoints of a led group with their connections, in the order of their indexes.
class EndpointTable {
 public:
  EndpointTable(boost::asio::io_context& loop, ConnectionNumbers& id_generator);

  // Takes in the group's record, and sets the scheduler's slots by it.
  void Apply(const replicas::GroupRecord& record, scheduling::GroupScheduler& scheduler);

  std::optional<scheduling::EndpointIndex> IndexOf(const EndpointName& name) const;
  const EndpointName& NameOf(scheduling::EndpointIndex index) const;
  EndpointConnectionPool& PoolOf(scheduling::EndpointIndex index);
  // The link that the connection belongs to; null when it is closed.
  EndpointConnectionPool* FindPoolOfConnection(outcomes::ConnectionId connection);
  const std::vector<EndpointRow>& Rows() const;

 private:
  EndpointRow& FindOrAdd(const replicas::Instance& instance, std::uint64_t connections);

  boost::asio::io_context& loop;
  ConnectionNumbers& id_generator;
  std::vector<EndpointRow> rows;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_ENDPOINT_TABLE_H_
