#include "proxy/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <vector>

namespace amaranthlane::proxy {

namespace {

// Subtracted from a read's maximum staleness, to cover rounding.
constexpr std::chrono::milliseconds kStalenessMargin{20};
// Factors that raise the cost of an endpoint, so that others are preferred.
constexpr double kOtherDataCentreFactor = 1.15;
constexpr double kPrimaryReadFactor = 1.6;
constexpr double kBehindFactor = 2;
constexpr double kAvoidedEndpointFactor = 16;
// Added where a connection has to be opened for the organisation: about the time that it takes.
constexpr double kOpeningCostMs = 15;
// A draining primary gets new statements until it is replaced, but no longer than this after it may have begun to
// drain.
constexpr std::chrono::seconds kDrainingPrimaryTimeout{5};
// The delays suggested to a refused caller: without a usable primary, and when all connections are in use.
constexpr std::chrono::milliseconds kRetryAfterNoPrimary{400};
constexpr std::chrono::milliseconds kRetryAfterBusy{100};

}  // namespace

Dispatcher::Dispatcher(std::string data_centre, PrimaryLookup primary_lookup)
    : data_centre(std::move(data_centre)), primary_lookup(std::move(primary_lookup)) {}

std::uint64_t Dispatcher::Submit(ConnectionRequest request, RequestCallback callback) {
  const std::uint64_t id = ++this->last_id;
  const Key key{request.rank, id};
  this->queue.emplace(key, QueuedRequest{std::move(request), std::move(callback), BootClock::now()});
  return id;
}

void Dispatcher::Cancel(std::uint64_t id) {
  std::erase_if(this->queue, [id](const auto& queued) { return queued.first.second == id; });
}

void Dispatcher::Dispatch(TimePoint now) {
  if (this->dispatching || this->queue.empty()) {
    return;
  }
  this->dispatching = true;
  std::vector<Key> keys;
  keys.reserve(this->queue.size());
  for (const auto& [key, queued] : this->queue) {
    keys.push_back(key);
  }
  const PrimaryStatus primary = this->primary_lookup(now);
  const bool all_unreachable = this->AllUnreachable();
  const std::string unreachable = all_unreachable ? "no endpoint of the group is reachable" : "";
  std::map<EndpointName, int> opened_counts;
  for (const Key& key : keys) {
    const auto found = this->queue.find(key);
    if (found == this->queue.end()) {
      continue;
    }
    const std::string& unavailable_reason =
        all_unreachable || !found->second.request.needs_primary ? unreachable : primary.unavailable_reason;
    const bool refuse = !unavailable_reason.empty() || now >= found->second.request.deadline;
    const bool too_early = now < found->second.request.not_before;
    if (too_early && !refuse) {
      continue;
    }
    // Removed from the queue first, because the callback may submit another request.
    QueuedRequest candidate = std::move(found->second);
    this->queue.erase(found);
    if (!too_early && this->TryGrant(candidate, now, opened_counts)) {
      continue;
    }
    if (refuse) {
      const Refusal refusal = this->MakeRefusal(candidate, unavailable_reason, now);
      candidate.callback(nullptr, &refusal);
    } else {
      this->queue.emplace(key, std::move(candidate));
    }
  }
  this->dispatching = false;
}

std::optional<LogPosition> Dispatcher::RequiredPosition(const ConnectionRequest& request, TimePoint now) const {
  std::optional<LogPosition> required =
      this->history.LowestPositionCovering(now - request.max_staleness + kStalenessMargin);
  if (required && request.session_position) {
    required = std::max(*required, *request.session_position);
  }
  return required;
}

double Dispatcher::Cost(const EndpointPool& pool, bool is_primary, const ConnectionRequest& request,
                        const std::optional<LogPosition>& required, TimePoint now) const {
  const double latency = std::chrono::duration<double, std::milli>(pool.ExpectedLatency(now)).count();
  double cost = latency * static_cast<double>(pool.InUseCount() + 1);
  if (!request.organisation.empty() && pool.IdleCountOf(request.organisation) == 0) {
    cost += kOpeningCostMs;
  }
  if (pool.Endpoint().data_centre != this->data_centre) {
    cost *= kOtherDataCentreFactor;
  }
  if (is_primary) {
    cost *= kPrimaryReadFactor;
  } else if (required && pool.known_position < *required) {
    cost *= kBehindFactor;
  }
  if (pool.Endpoint().name == request.avoided_endpoint) {
    cost *= kAvoidedEndpointFactor;
  }
  return cost;
}

bool Dispatcher::TryGrant(const QueuedRequest& queued, TimePoint now, std::map<EndpointName, int>& opened_counts) {
  const PrimaryStatus primary = this->primary_lookup(now);
  const ConnectionRequest& request = queued.request;
  std::vector<std::pair<double, EndpointPool*>> choices;
  const std::optional<LogPosition> required =
      request.needs_primary ? std::nullopt : this->RequiredPosition(request, now);
  for (const auto& [name, pool] : this->pools) {
    const bool is_primary = name == primary.name;
    const bool eligible = is_primary ? primary.usable && !pool->DrainingLongerThan(kDrainingPrimaryTimeout, now)
                                     : required.has_value() && !pool->Endpoint().draining && !pool->Lagging(now);
    if (eligible && pool->Reachable() && (is_primary || !request.needs_primary)) {
      choices.emplace_back(this->Cost(*pool, is_primary, request, required, now), pool);
    }
  }
  std::sort(choices.begin(), choices.end());
  bool opening = false;
  for (const auto& [cost, pool] : choices) {
    const bool is_primary = pool->Endpoint().name == primary.name;
    if (this->TryGrantFrom(*pool, is_primary ? std::nullopt : required, queued)) {
      return true;
    }
    if (!opening) {
      opening = OpenFor(*pool, request, opened_counts[pool->Endpoint().name], now);
    }
  }
  return false;
}

bool Dispatcher::OpenFor(EndpointPool& pool, const ConnectionRequest& request, int& opened_count, TimePoint now) {
  if (pool.IdleCountOf(request.organisation) > 0) {
    return false;
  }
  if (!request.organisation.empty()) {
    // One connection for an organisation is enough: each costs the endpoint work, and closes another one at the limit.
    return pool.OpenFor(request.rank, now, request.organisation);
  }
  if (opened_count++ < 1) {
    pool.OpenFor(request.rank, now);
  }
  return false;
}

bool Dispatcher::TryGrantFrom(EndpointPool& pool, const std::optional<LogPosition>& min_position,
                              const QueuedRequest& queued) {
  if (!pool.MayExecute(queued.request.rank)) {
    return false;
  }
  const std::shared_ptr<EndpointConnection> connection = pool.Take(queued.request.values, queued.request.organisation);
  if (connection == nullptr) {
    return false;
  }
  const Grant grant{connection, min_position};
  queued.callback(&grant, nullptr);
  return true;
}

bool Dispatcher::AllUnreachable() const {
  return !this->pools.empty() && std::none_of(this->pools.begin(), this->pools.end(),
                                              [](const auto& pool) { return pool.second->Reachable(); });
}

Refusal Dispatcher::MakeRefusal(const QueuedRequest& queued, const std::string& unavailable_reason,
                                TimePoint now) const {
  if (!unavailable_reason.empty()) {
    return {unavailable_reason, kRetryAfterNoPrimary};
  }
  const PrimaryStatus primary = this->primary_lookup(now);
  if (!primary.usable) {
    return {primary.name.empty() ? "no primary is known" : "this VM may not use the primary now", kRetryAfterNoPrimary};
  }
  const auto pool = this->pools.find(primary.name);
  if (queued.request.needs_primary && (pool == this->pools.end() || !pool->second->Reachable())) {
    return {"the primary is unreachable", kRetryAfterNoPrimary};
  }
  return {"no connection became available in time", kRetryAfterBusy};
}

void Dispatcher::AddPool(const EndpointName& name, EndpointPool* pool) { this->pools[name] = pool; }

void Dispatcher::RemovePool(const EndpointName& name) { this->pools.erase(name); }

EndpointPool* Dispatcher::Pool(const EndpointName& name) const {
  const auto found = this->pools.find(name);
  return found == this->pools.end() ? nullptr : found->second;
}

const std::map<EndpointName, EndpointPool*>& Dispatcher::Pools() const { return this->pools; }

void Dispatcher::UpdatePosition(const EndpointName& endpoint, TimePoint sent_at, const LogPosition& position,
                                TimePoint now) {
  EndpointPool* pool = this->Pool(endpoint);
  if (pool != nullptr) {
    pool->known_position = std::max(pool->known_position, position);
  }
  const PrimaryStatus primary = this->primary_lookup(now);
  if (primary.usable && primary.name == endpoint) {
    this->history.Add(sent_at, position);
  }
}

void Dispatcher::AddMemberPosition(TimePoint queried_at, const LogPosition& position) {
  this->history.Add(queried_at, position);
}

const statements::PositionHistory& Dispatcher::History() const { return this->history; }

std::size_t Dispatcher::WaitingCount() const { return this->queue.size(); }

}  // namespace amaranthlane::proxy
