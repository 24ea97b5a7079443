#ifndef AMARANTHLANE_PROXY_DISPATCHER_H_
#define AMARANTHLANE_PROXY_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/access/organisation_name.h"
#include "core/statements/position_history.h"
#include "proxy/configuration.h"
#include "proxy/endpoint_pool.h"

namespace amaranthlane::proxy {

// A request for a connection to an endpoint of a group, on behalf of a statement.
struct ConnectionRequest {
  Rank rank = Rank::kNormal;
  // The request is refused if no connection was granted by then.
  TimePoint deadline = kNever;
  // No connection is granted earlier.
  TimePoint not_before;
  // Only the primary can run the statement.
  bool needs_primary = false;
  // Otherwise: the maximum staleness of what it reads, and a position that it must see for its session.
  Duration max_staleness{};
  std::optional<LogPosition> session_position;
  // An endpoint at which an earlier attempt failed; others are preferred. Empty: none.
  EndpointName avoided_endpoint;
  statements::SessionValues values;
  // On whose behalf the statement runs; empty: no organisation's.
  OrganisationName organisation;
};

// A connection granted to a request.
struct Grant {
  std::shared_ptr<EndpointConnection> connection;
  // The position that the statement must demand of the endpoint; none: the endpoint is the primary.
  std::optional<LogPosition> min_position;
};

struct Refusal {
  std::string reason;
  // How long the caller should wait before it retries.
  Duration retry_after{};
};

using RequestCallback = std::function<void(const Grant* grant, const Refusal* refusal)>;

// A group's primary, as this VM sees it.
struct PrimaryStatus {
  // True when this VM may use it now.
  bool usable = false;
  // Empty: unknown.
  EndpointName name;
  // Why requests shouldn't wait for it on this VM; empty: it may become usable soon.
  std::string unavailable_reason;
};

// Queues the requests for connections to one database group, the most urgent first, and chooses an endpoint for each.
// Used on one thread.
class Dispatcher {
 public:
  using PrimaryLookup = std::function<PrimaryStatus(TimePoint now)>;

  Dispatcher(std::string data_centre, PrimaryLookup primary_lookup);

  // Queues a request; returns its id for Cancel().
  std::uint64_t Submit(ConnectionRequest request, RequestCallback callback);
  void Cancel(std::uint64_t id);

  // Grants connections, and refuses requests whose deadline has passed or whose endpoints are unavailable.
  void Dispatch(TimePoint now);

  void AddPool(const EndpointName& name, EndpointPool* pool);
  void RemovePool(const EndpointName& name);
  EndpointPool* Pool(const EndpointName& name) const;
  const std::map<EndpointName, EndpointPool*>& Pools() const;

  // `endpoint` has reported a position in answer to a message sent at `sent_at`. It enters the history if `endpoint` is
  // the primary and this VM may use it.
  void UpdatePosition(const EndpointName& endpoint, TimePoint sent_at, const LogPosition& position, TimePoint now);
  // A member has reported a position of the primary, which was queried no earlier than `queried_at`.
  void AddMemberPosition(TimePoint queried_at, const LogPosition& position);
  const statements::PositionHistory& History() const;

  std::size_t WaitingCount() const;

 private:
  struct QueuedRequest {
    ConnectionRequest request;
    RequestCallback callback;
    TimePoint queued_at;
  };
  using Key = std::pair<Rank, std::uint64_t>;

  bool TryGrant(const QueuedRequest& queued, TimePoint now, std::map<EndpointName, int>& opened_counts);
  // Opens a connection for a request that found no idle one at this endpoint. Returns true when the other endpoints
  // needn't open one.
  static bool OpenFor(EndpointPool& pool, const ConnectionRequest& request, int& opened_count, TimePoint now);
  bool TryGrantFrom(EndpointPool& pool, const std::optional<LogPosition>& min_position, const QueuedRequest& queued);
  std::optional<LogPosition> RequiredPosition(const ConnectionRequest& request, TimePoint now) const;
  double Cost(const EndpointPool& pool, bool is_primary, const ConnectionRequest& request,
              const std::optional<LogPosition>& required, TimePoint now) const;
  Refusal MakeRefusal(const QueuedRequest& queued, const std::string& unavailable_reason, TimePoint now) const;
  // True when no endpoint is reachable.
  bool AllUnreachable() const;

  std::string data_centre;
  PrimaryLookup primary_lookup;
  std::map<EndpointName, EndpointPool*> pools;
  std::map<Key, QueuedRequest> queue;
  std::uint64_t last_id = 0;
  statements::PositionHistory history;
  bool dispatching = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_DISPATCHER_H_
