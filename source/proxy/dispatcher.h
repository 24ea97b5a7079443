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
struct Work {
  Rank rank = Rank::kNormal;
  // It is refused when it has no connection by then.
  TimePoint refuse_at = kNever;
  // It isn't tried before.
  TimePoint not_before;
  // Only the primary will do.
  bool needs_primary = false;
  // Otherwise: the greatest age of what it reads, and a position that its session is owed.
  Duration greatest_age{};
  std::optional<LogPosition> own_position;
  // An endpoint that has just failed it.
  EndpointName avoid;
  statements::SessionValues values;
};

// A connection for a piece of work.
struct Grant {
  std::shared_ptr<EndpointConnection> connection;
  // The statement must carry it; none: the endpoint is the primary.
  std::optional<LogPosition> at_least;
};

struct Refusal {
  std::string why;
  // When it is worth to come back.
  Duration retry_after{};
};

using Placement = std::function<void(const Grant* grant, const Refusal* refusal)>;

// A group's primary, as this VM sees it.
struct KnownPrimary {
  // This VM may use it now.
  bool usable = false;
  // Empty: unknown.
  EndpointName name;
  // Why nothing is gained by waiting for it here; empty: it may be usable soon.
  std::string hopeless;
};

// The work of one database group that waits for a connection, most urgent first, and the choice of endpoints. Used on
// one thread.
class Dispatcher {
 public:
  using PrimaryView = std::function<KnownPrimary(TimePoint now)>;

  Dispatcher(std::string data_centre, PrimaryView primary);

  // Queues work; returns its number, to be used with Cancel().
  std::uint64_t Submit(Work work, Placement placement);
  void Cancel(std::uint64_t number);

  // Hands out connections, and refuses what has waited too long.
  void Pump(TimePoint now);

  void AddPool(const EndpointName& name, EndpointPool* pool);
  void RemovePool(const EndpointName& name);
  EndpointPool* Pool(const EndpointName& name) const;
  const std::map<EndpointName, EndpointPool*>& Pools() const;

  // A position that `endpoint` told; counts for the history if this VM may use it as the primary.
  void NotePosition(const EndpointName& endpoint, TimePoint sent_at, const LogPosition& position, TimePoint now);
  // A position that a member told; it was asked for no earlier than `asked_at`.
  void NoteMemberPosition(TimePoint asked_at, const LogPosition& position);
  const statements::PositionHistory& History() const;

  std::size_t Waiting() const;

 private:
  struct WaitingWork {
    Work work;
    Placement placement;
    TimePoint since;
  };
  using Key = std::pair<Rank, std::uint64_t>;

  bool Place(const WaitingWork& waiting, TimePoint now, std::map<EndpointName, int>& opened);
  bool PlaceOn(EndpointPool& pool, const std::optional<LogPosition>& at_least, const WaitingWork& waiting);
  std::optional<LogPosition> Owed(const Work& work, TimePoint now) const;
  double Cost(const EndpointPool& pool, bool primary, const Work& work, const std::optional<LogPosition>& owed,
              TimePoint now) const;
  Refusal Explain(const WaitingWork& waiting, const std::string& hopeless, TimePoint now) const;
  // True when all endpoints are out of reach.
  bool NobodyAnswers() const;

  std::string data_centre;
  PrimaryView primary;
  std::map<EndpointName, EndpointPool*> pools;
  std::map<Key, WaitingWork> queue;
  std::uint64_t last_number = 0;
  statements::PositionHistory history;
  bool pumping = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_DISPATCHER_H_
