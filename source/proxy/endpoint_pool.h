#ifndef AMARANTHLANE_PROXY_ENDPOINT_POOL_H_
#define AMARANTHLANE_PROXY_ENDPOINT_POOL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "core/failover/endpoint_status.h"
#include "core/types.h"
#include "proxy/endpoint_connection.h"

namespace amaranthlane::proxy {

struct PoolSettings {
  // Bytes that are owed for so long raise the suspicion that the endpoint is out of reach; well above the longest usual
  // work.
  Duration silence_timeout = std::chrono::milliseconds(400);
  // How long a new connection may take before the endpoint counts as out of reach.
  Duration connect_timeout = std::chrono::milliseconds(300);
  // How often an endpoint that is out of reach is tried again.
  Duration retry_interval = std::chrono::milliseconds(200);
  // Connections beyond this VM's share are closed after so long without use, so that other VMs can have them.
  Duration surplus_idle_timeout = std::chrono::milliseconds(400);
  // How long the endpoint's refusal of a connection keeps this VM from opening another one. Each costs the endpoint
  // work.
  Duration refusal_backoff = std::chrono::milliseconds(300);
  // The same while it has none at all.
  Duration refusal_backoff_without_connection = std::chrono::milliseconds(60);
  // How long the status of an endpoint is awaited.
  Duration status_timeout = std::chrono::milliseconds(300);
};

// What a pool tells its owner.
struct PoolEvents {
  // A connection is free, or the endpoint went out of reach or came back.
  std::function<void()> availability_changed;
  // The endpoint told its position in answer to something sent at `sent_at`.
  std::function<void(const failover::EndpointEntry& endpoint, TimePoint sent_at, const LogPosition& position)>
      position_reported;
  std::function<void(const failover::EndpointEntry& endpoint, const failover::EndpointStatus& status,
                     TimePoint sent_at)>
      status_received;
  // The replica has refused reads for a while, or answers them again, for the log.
  std::function<void(const failover::EndpointEntry& endpoint, bool lagging, const LogPosition& known)> lagging_changed;
  // Reachability changed, for the log.
  std::function<void(const failover::EndpointEntry& endpoint, bool reachable, const std::string& reason)>
      reachability_changed;
};

// This VM's connections to one endpoint, and whether the endpoint answers. Used on one thread.
class EndpointPool {
 public:
  EndpointPool(boost::asio::io_context& loop, const StatementCodec& codec, VmName vm, failover::EndpointEntry endpoint,
               const PoolSettings& settings, PoolEvents events);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // An idle connection, best one that holds these values already; null when there is none.
  std::shared_ptr<EndpointConnection> Take(const statements::SessionValues& values);
  // Opens one more connection for work of this rank if the limits allow it.
  void OpenFor(Rank rank, TimePoint now);
  // Gives a connection back. It is kept if it is open, idle and outside any transaction.
  void Release(const std::shared_ptr<EndpointConnection>& connection, TimePoint now);

  // Asks the endpoint for its status over an idle or new connection.
  void QueryStatus(TimePoint now);
  void SendStepDown(Term term, TimePoint now);

  // Checks deadlines, reachability, and connections that are idle too long. `probe_interval` is the longest time
  // without an exchange.
  void Tick(TimePoint now, Duration probe_interval);

  // The connections that this VM may hold, and its share of the work that the endpoint has at once. Bulk work keeps to
  // that share, each more urgent rank may go one beyond it, so that it waits behind little at the endpoint.
  void SetLimits(std::size_t connections, std::size_t max_concurrency);
  // True when this VM leaves the endpoint to other VMs. Work that comes all the same gets connections for a moment.
  bool Passive() const;
  // True when it needs no Tick(): nothing is open, and nothing is to be kept open.
  bool Quiescent() const;
  // True when one more statement of this rank may go to the endpoint now.
  bool MayExecute(Rank rank) const;
  void SetEndpoint(const failover::EndpointEntry& update, TimePoint now);
  // True when the endpoint has been draining for longer than `limit`.
  bool DrainingLongerThan(Duration limit, TimePoint now) const;
  // Closes all connections; exchanges under way end as broken.
  void CloseAll();

  const failover::EndpointEntry& Endpoint() const;
  bool Reachable() const;
  std::size_t InUseCount() const;
  std::size_t IdleCount() const;
  std::uint64_t TotalOpened() const;
  // The time that statements took lately; older figures count less.
  Duration ExpectedLatency(TimePoint now) const;
  void RecordLatency(Duration latency, TimePoint now);

  // A replica refused a read for lack of a position, or answered one. It isn't asked for a while after a refusal,
  // longer with each one in a row.
  void MarkLagging(TimePoint now);
  void MarkCaughtUp();
  bool Lagging(TimePoint now) const;

  // The newest position that it told.
  LogPosition known_position;

 private:
  void Open(TimePoint now, bool verification);
  void OnOpened(const std::shared_ptr<EndpointConnection>& connection, bool opened, const EndpointAnswer& refusal,
                bool verification);
  void SendCommand(std::string message, TimePoint now, std::function<void(const EndpointAnswer&, TimePoint)> done);
  void SetReachable(bool reachable, const std::string& reason);
  void CheckReachability(TimePoint now);
  void CloseSurplus(TimePoint now);

  boost::asio::io_context& loop;
  const StatementCodec& codec;
  VmName vm;
  failover::EndpointEntry endpoint;
  PoolSettings settings;
  PoolEvents events;
  std::vector<std::shared_ptr<EndpointConnection>> connections;
  std::vector<std::shared_ptr<EndpointConnection>> idle;
  std::vector<std::string> waiting_commands;
  std::size_t opening_count = 0;
  std::size_t max_connections = 2;
  std::size_t max_concurrency = 1;
  std::uint64_t total_opened = 0;
  bool reachable = true;
  bool verifying = false;
  TimePoint next_attempt;
  TimePoint last_received_at;
  TimePoint last_sent;
  TimePoint last_status_query;
  TimePoint refused_until;
  TimePoint draining_since = kNever;
  TimePoint lagging_until;
  Duration lagging_backoff{};
  bool lagging_reported = false;
  double latency_ms = 10;
  TimePoint latency_updated_at;
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_ENDPOINT_POOL_H_
