#ifndef AMARANTHLANE_PROXY_DISPATCHER_H_
#define AMARANTHLANE_PROXY_DISPATCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "core/statements/position_history.h"
#include "proxy/configuration.h"
#include "proxy/endpoint_pool.h"

namespace amaranthlane::proxy {

// Work that needs a connection of its group.
struct ConnectionRequest {
  Rank rank = Rank::kNormal;
  // It is refused when it has no connection by then.
  TimePoint deadline = kNever;
  // It isn't tried before.
  TimePoint not_before;
  // Only the primary will do.
  bool needs_primary = false;
  // Otherwise: the greatest age of what it reads, and a position that its session is owed.
  Duration greatest_age{};
  std::optional<LogPosition> session_position;
  // An endpoint that has just failed it.
  EndpointName avoided_endpoint;
  statements::SessionValues values;
};

// A connection for a piece of work.
struct Grant {
  std::shared_ptr<EndpointConnection> connection;
  // The statement must carry it; none: the endpoint is the primary.
  std::optional<LogPosition> at_least;
};

struct Refusal {
  std::string reason;
  // When it is worth to come back.
  Duration retry_after{};
};

using RequestCallback = std::function<void(const Grant* grant, const Refusal* refusal)>;

// A group's primary, as this VM sees it.
struct PrimaryStatus {
  // This VM may use it now.
  bool usable = false;
  // Empty: unknown.
  EndpointName name;
  // Why nothing is gained by waiting for it here; empty: it may be usable soon.
  std::string unavailable_reason;
};

// The work of one database group that waits for a connection, most urgent first, and the choice of endpoints. Used on
// one thread.
class Dispatcher {
 public:
  using PrimaryLookup = std::function<PrimaryStatus(TimePoint now)>;

  Dispatcher(std::string data_centre, PrimaryLookup primary_lookup);

  // Queues work; returns its number, to be used with Cancel().
  std::uint64_t Submit(ConnectionRequest request, RequestCallback callback);
  void Cancel(std::uint64_t id);

  // Hands out connections, and refuses what has waited too long.
  void Dispatch(TimePoint now);

  void AddPool(const EndpointName& name, EndpointPool* pool);
  void RemovePool(const EndpointName& name);
  EndpointPool* Pool(const EndpointName& name) const;
  const std::map<EndpointName, EndpointPool*>& Pools() const;

  // A position that `endpoint` told; counts for the history if this VM may use it as the primary.
  void UpdatePosition(const EndpointName& endpoint, TimePoint sent_at, const LogPosition& position, TimePoint now);
  // A position that a member told; it was asked for no earlier than `queried_at`.
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

  bool TryPlace(const QueuedRequest& queued, TimePoint now, std::map<EndpointName, int>& opened_counts);
  bool TryPlaceOn(EndpointPool& pool, const std::optional<LogPosition>& at_least, const QueuedRequest& queued);
  std::optional<LogPosition> RequiredPosition(const ConnectionRequest& request, TimePoint now) const;
  double Cost(const EndpointPool& pool, bool is_primary, const ConnectionRequest& request,
              const std::optional<LogPosition>& required, TimePoint now) const;
  Refusal MakeRefusal(const QueuedRequest& queued, const std::string& unavailable_reason, TimePoint now) const;
  // True when all endpoints are out of reach.
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
