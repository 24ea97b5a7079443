#ifndef AMARANTHLANE_PROXY_ENDPOINT_POOL_H_
#define AMARANTHLANE_PROXY_ENDPOINT_POOL_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "core/access/organisation_name.h"
#include "core/failover/endpoint_status.h"
#include "core/types.h"
#include "proxy/endpoint_connection.h"

namespace amaranthlane::proxy {

struct PoolSettings {
  // If an answer is outstanding and nothing was received for this time, the endpoint may be unreachable, and a new
  // connection is opened to check. Well above the duration of the longest usual statement.
  Duration silence_timeout = std::chrono::milliseconds(400);
  // How long opening a connection may take before the endpoint counts as unreachable.
  Duration connect_timeout = std::chrono::milliseconds(300);
  // How often an unreachable endpoint is tried again.
  Duration retry_interval = std::chrono::milliseconds(200);
  // Idle connections beyond this VM's share are closed after this time, so that other VMs can open them.
  Duration surplus_idle_timeout = std::chrono::milliseconds(400);
  // How long this VM opens no connection after the endpoint refused one. Each attempt costs the endpoint work.
  Duration refusal_backoff = std::chrono::milliseconds(300);
  // The same while this VM has no connection to the endpoint.
  Duration refusal_backoff_without_connection = std::chrono::milliseconds(60);
  // How long an endpoint may take to answer a status query or another command of the proxy.
  Duration command_timeout = std::chrono::milliseconds(300);
};

// Callbacks to the owner of a pool.
struct PoolEvents {
  // A connection was returned to the pool, or the endpoint became reachable or unreachable.
  std::function<void()> availability_changed;
  // The endpoint reported its position in answer to a message sent at `sent_at`.
  std::function<void(const failover::EndpointEntry& endpoint, TimePoint sent_at, const LogPosition& position)>
      position_reported;
  std::function<void(const failover::EndpointEntry& endpoint, const failover::EndpointStatus& status,
                     TimePoint sent_at)>
      status_received;
  // Nothing listens at the endpoint's address, or another endpoint does.
  std::function<void(const failover::EndpointEntry& endpoint)> process_ended;
  // The replica has rejected reads for a while because it lags, or it answers them again. For the log.
  std::function<void(const failover::EndpointEntry& endpoint, bool lagging, const LogPosition& known)> lagging_changed;
  // For the log.
  std::function<void(const failover::EndpointEntry& endpoint, bool reachable, const std::string& reason)>
      reachability_changed;
};

// This VM's connections to one endpoint, and whether the endpoint is reachable. Used on one thread.
class EndpointPool {
 public:
  EndpointPool(boost::asio::io_context& loop, const StatementCodec& codec, VmName vm, failover::EndpointEntry endpoint,
               const PoolSettings& settings, PoolEvents events);
  ~EndpointPool();
  EndpointPool(const EndpointPool&) = delete;
  EndpointPool& operator=(const EndpointPool&) = delete;

  // Takes an idle connection of the organisation out of the pool, preferably one that holds these session values. Null
  // when none is idle. Statements without an organisation use connections that this VM has opened in its own name.
  std::shared_ptr<EndpointConnection> Take(const statements::SessionValues& values,
                                           const OrganisationName& organisation = {});
  // Opens one more connection for a statement of this rank if the limits allow it. At the limit, it replaces the
  // connection of another organisation that has been idle longest. Returns whether a connection of the organisation is
  // being opened.
  bool OpenFor(Rank rank, TimePoint now, const OrganisationName& organisation = {});
  // Returns a connection to the pool. It is closed if it is busy or inside a transaction.
  void Release(const std::shared_ptr<EndpointConnection>& connection, TimePoint now);

  // Queries the endpoint's status over an idle connection. If there is none, opens one for the next query.
  void QueryStatus(TimePoint now);
  void SendStepDown(Term term, TimePoint now);

  // Checks deadlines and reachability, closes surplus connections, and queries the status when there was no exchange
  // for `probe_interval`.
  void Tick(TimePoint now, Duration probe_interval);

  // Limits this VM's connections, and its statements that run at the endpoint at the same time. The limit for
  // statements applies to bulk statements. Each more urgent rank may exceed it by one more, so that urgent statements
  // don't wait behind a queue at the endpoint.
  void SetLimits(std::size_t new_max_connections, std::size_t new_max_concurrency);
  // True when this VM keeps no connections to the endpoint because other VMs serve the group. A statement that still
  // arrives here gets a short-lived connection.
  bool Passive() const;
  // True when the pool needs no Tick(): no connection is open, and none has to be kept open.
  bool Quiescent() const;
  // True when one more statement of this rank may go to the endpoint now.
  bool MayExecute(Rank rank) const;
  // Replaces the directory entry. `former_current_at`: up to when this VM's former copy of the directory is known to
  // have been complete. If the endpoint is draining and wasn't in that copy, it may have been since then.
  void SetEndpoint(const failover::EndpointEntry& update, TimePoint former_current_at);
  // True when the endpoint may have been draining for longer than `duration`.
  bool DrainingLongerThan(Duration duration, TimePoint now) const;
  // Closes all connections; exchanges in progress end as broken.
  void CloseAll();

  const failover::EndpointEntry& Endpoint() const;
  bool Reachable() const;
  std::size_t InUseCount() const;
  std::size_t IdleCount() const;
  // The number of idle connections that a statement of the organisation can use.
  std::size_t IdleCountOf(const OrganisationName& organisation) const;
  std::uint64_t TotalOpened() const;
  // The mean duration of recent statements; older ones have less weight.
  Duration ExpectedLatency(TimePoint now) const;
  void RecordLatency(Duration latency, TimePoint now);

  // A replica rejected a read because it lacks the required position, or answered one. After a rejection it gets no
  // reads for a while; the time doubles with each consecutive rejection, up to a maximum.
  void MarkLagging(TimePoint now);
  void MarkCaughtUp();
  bool Lagging(TimePoint now) const;

  // The newest position that the endpoint has reported.
  LogPosition known_position;

 private:
  // The name that the endpoint is told for a statement of the organisation.
  const std::string& IdentityFor(const OrganisationName& organisation) const;
  void Open(TimePoint now, const std::string& identity, bool verification);
  // Closes the connection of another identity that has been idle longest. Returns false if there is none.
  bool CloseIdleOfOther(const std::string& identity);
  // Takes an idle connection of any identity, for a command of the proxy itself.
  std::shared_ptr<EndpointConnection> TakeForCommand();
  void RemoveClosedIdle();
  void OnOpened(const std::shared_ptr<EndpointConnection>& connection, bool opened, const EndpointAnswer& answer,
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
  // The identities of those connections that are being opened for organisations.
  std::set<std::string> opening_organisations;
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
  // The earliest time at which the endpoint may have begun to drain; kNever: it isn't draining.
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
