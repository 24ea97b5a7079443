#include "daemon/endpoint_table.h"

#include <algorithm>

namespace amaranthlane::daemon {

namespace {

// Connections of each instance that statements don't use. They are reserved for probes, configuration requests and the
// first connections of the next leader.
constexpr std::uint64_t kReservedConnections = 4;

}  // namespace

EndpointTable::EndpointTable(boost::asio::io_context& loop, ConnectionIdGenerator& id_generator)
    : loop(loop), id_generator(id_generator) {}

void EndpointTable::Apply(const replicas::GroupRecord& record, scheduling::GroupScheduler& scheduler) {
  for (EndpointRow& row : this->rows) {
    row.accepts_work = false;
  }
  for (const replicas::Instance& instance : record.instances) {
    this->FindOrAdd(instance, record.connections).accepts_work = !instance.leaving;
  }
  for (std::size_t index = 0; index < this->rows.size(); ++index) {
    const std::uint64_t slots = this->rows[index].accepts_work ? record.slots : 0;
    scheduler.SetSlots(static_cast<scheduling::EndpointIndex>(index), static_cast<std::uint32_t>(slots));
    if (!this->rows[index].accepts_work) {
      this->rows[index].pool->CloseIdle();
    }
  }
}

EndpointRow& EndpointTable::FindOrAdd(const replicas::Instance& instance, std::uint64_t connections) {
  const net::Address address = net::ParseAddress(instance.address);
  const std::uint64_t max_connections = connections > kReservedConnections ? connections - kReservedConnections : 1;
  for (EndpointRow& row : this->rows) {
    if (row.name == instance.endpoint && row.pool->Target() == address) {
      return row;
    }
  }
  // An instance that moved to another address gets a new row, and the old row accepts no more work.
  this->rows.push_back(EndpointRow{
      instance.endpoint,
      std::make_unique<EndpointConnectionPool>(this->loop, address, max_connections, this->id_generator), false});
  return this->rows.back();
}

std::optional<scheduling::EndpointIndex> EndpointTable::IndexOf(const EndpointName& name) const {
  for (std::size_t index = this->rows.size(); index > 0; --index) {
    if (this->rows[index - 1].name == name) {
      return static_cast<scheduling::EndpointIndex>(index - 1);
    }
  }
  return std::nullopt;
}

const EndpointName& EndpointTable::NameOf(scheduling::EndpointIndex index) const { return this->rows.at(index).name; }

EndpointConnectionPool& EndpointTable::PoolOf(scheduling::EndpointIndex index) { return *this->rows.at(index).pool; }

EndpointConnectionPool* EndpointTable::FindPoolOfConnection(outcomes::ConnectionId connection) {
  for (EndpointRow& row : this->rows) {
    if (row.pool->Contains(connection)) {
      return row.pool.get();
    }
  }
  return nullptr;
}

const std::vector<EndpointRow>& EndpointTable::Rows() const { return this->rows; }

}  // namespace amaranthlane::daemon
