#include "proxy/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <limits>
#include <vector>

namespace amaranthlane::proxy {

namespace {

// A read is owed what was acknowledged a little later than its bound says, to cover rounding.
constexpr std::chrono::milliseconds kAgeMargin{20};
// What makes an endpoint less attractive, as factors of its expected latency.
constexpr double kOtherDataCentre = 1.15;
constexpr double kPrimaryForReads = 1.6;
constexpr double kBehind = 2;
constexpr double kFailedBefore = 16;
// A primary that drains gets new work until another one leads, but no longer than this.
constexpr std::chrono::seconds kDrainingPrimaryLimit{5};
// How soon a caller may come back while no primary is known to be usable, and while work waits for connections.
constexpr std::chrono::milliseconds kRetryAfterNoPrimary{400};
constexpr std::chrono::milliseconds kRetryAfterBusy{100};

}  // namespace

Dispatcher::Dispatcher(std::string data_centre, PrimaryView primary)
    : data_centre(std::move(data_centre)), primary(std::move(primary)) {}

std::uint64_t Dispatcher::Submit(Work work, Placement placement) {
  const std::uint64_t number = ++this->last_number;
  const Key key{work.rank, number};
  this->queue.emplace(key, WaitingWork{std::move(work), std::move(placement), BootClock::now()});
  return number;
}

void Dispatcher::Cancel(std::uint64_t number) {
  std::erase_if(this->queue, [number](const auto& waiting) { return waiting.first.second == number; });
}

void Dispatcher::Pump(TimePoint now) {
  if (this->pumping || this->queue.empty()) {
    return;
  }
  this->pumping = true;
  std::vector<Key> keys;
  keys.reserve(this->queue.size());
  for (const auto& [key, waiting] : this->queue) {
    keys.push_back(key);
  }
  const KnownPrimary known = this->primary(now);
  const bool nobody_answers = this->NobodyAnswers();
  const std::string unreachable = nobody_answers ? "no endpoint of the group answers this VM" : "";
  std::map<EndpointName, int> opened;
  for (const Key& key : keys) {
    const auto found = this->queue.find(key);
    if (found == this->queue.end()) {
      continue;
    }
    const std::string& hopeless = nobody_answers || !found->second.work.needs_primary ? unreachable : known.hopeless;
    const bool refuse = !hopeless.empty() || now >= found->second.work.refuse_at;
    const bool early = now < found->second.work.not_before;
    if (early && !refuse) {
      continue;
    }
    // The work leaves the queue first, as its callback may submit again.
    WaitingWork candidate = std::move(found->second);
    this->queue.erase(found);
    if (!early && this->Place(candidate, now, opened)) {
      continue;
    }
    if (refuse) {
      const Refusal refusal = this->Explain(candidate, hopeless, now);
      candidate.placement(nullptr, &refusal);
    } else {
      this->queue.emplace(key, std::move(candidate));
    }
  }
  this->pumping = false;
}

std::optional<LogPosition> Dispatcher::Owed(const Work& work, TimePoint now) const {
  std::optional<LogPosition> owed = this->history.LowestPositionCovering(now - work.greatest_age + kAgeMargin);
  if (owed && work.own_position) {
    owed = std::max(*owed, *work.own_position);
  }
  return owed;
}

double Dispatcher::Cost(const EndpointPool& pool, bool is_primary, const Work& work,
                        const std::optional<LogPosition>& owed, TimePoint now) const {
  const double latency = std::chrono::duration<double, std::milli>(pool.TypicalLatency(now)).count();
  double cost = latency * static_cast<double>(pool.InUse() + 1);
  if (pool.Endpoint().data_centre != this->data_centre) {
    cost *= kOtherDataCentre;
  }
  if (is_primary) {
    cost *= kPrimaryForReads;
  } else if (owed && pool.known_position < *owed) {
    cost *= kBehind;
  }
  if (pool.Endpoint().name == work.avoid) {
    cost *= kFailedBefore;
  }
  return cost;
}

bool Dispatcher::Place(const WaitingWork& waiting, TimePoint now, std::map<EndpointName, int>& opened) {
  const KnownPrimary known = this->primary(now);
  const Work& work = waiting.work;
  std::vector<std::pair<double, EndpointPool*>> choices;
  const std::optional<LogPosition> owed = work.needs_primary ? std::nullopt : this->Owed(work, now);
  for (const auto& [name, pool] : this->pools) {
    const bool is_primary = name == known.name;
    const bool eligible = is_primary ? known.usable && !pool->DrainingFor(kDrainingPrimaryLimit, now)
                                     : owed.has_value() && !pool->Endpoint().draining && !pool->Lagging(now);
    if (eligible && pool->Reachable() && (is_primary || !work.needs_primary)) {
      choices.emplace_back(this->Cost(*pool, is_primary, work, owed, now), pool);
    }
  }
  std::sort(choices.begin(), choices.end());
  for (const auto& [cost, pool] : choices) {
    const bool is_primary = pool->Endpoint().name == known.name;
    if (this->PlaceOn(*pool, is_primary ? std::nullopt : owed, waiting)) {
      return true;
    }
    if (pool->Idle() == 0 && opened[pool->Endpoint().name]++ < 1) {
      pool->OpenFor(work.rank, now);
    }
  }
  return false;
}

bool Dispatcher::PlaceOn(EndpointPool& pool, const std::optional<LogPosition>& at_least, const WaitingWork& waiting) {
  if (!pool.MayExecute(waiting.work.rank)) {
    return false;
  }
  const std::shared_ptr<EndpointConnection> connection = pool.Take(waiting.work.values);
  if (connection == nullptr) {
    return false;
  }
  const Grant grant{connection, at_least};
  waiting.placement(&grant, nullptr);
  return true;
}

bool Dispatcher::NobodyAnswers() const {
  return !this->pools.empty() && std::none_of(this->pools.begin(), this->pools.end(),
                                              [](const auto& pool) { return pool.second->Reachable(); });
}

Refusal Dispatcher::Explain(const WaitingWork& waiting, const std::string& hopeless, TimePoint now) const {
  if (!hopeless.empty()) {
    return {hopeless, kRetryAfterNoPrimary};
  }
  const KnownPrimary known = this->primary(now);
  if (!known.usable) {
    return {known.name.empty() ? "no primary is known" : "the primary may not be used now", kRetryAfterNoPrimary};
  }
  const auto pool = this->pools.find(known.name);
  if (waiting.work.needs_primary && (pool == this->pools.end() || !pool->second->Reachable())) {
    return {"the primary is out of reach", kRetryAfterNoPrimary};
  }
  return {"no connection became free", kRetryAfterBusy};
}

void Dispatcher::AddPool(const EndpointName& name, EndpointPool* pool) { this->pools[name] = pool; }

void Dispatcher::RemovePool(const EndpointName& name) { this->pools.erase(name); }

EndpointPool* Dispatcher::Pool(const EndpointName& name) const {
  const auto found = this->pools.find(name);
  return found == this->pools.end() ? nullptr : found->second;
}

const std::map<EndpointName, EndpointPool*>& Dispatcher::Pools() const { return this->pools; }

void Dispatcher::NotePosition(const EndpointName& endpoint, TimePoint sent_at, const LogPosition& position,
                              TimePoint now) {
  EndpointPool* pool = this->Pool(endpoint);
  if (pool != nullptr) {
    pool->known_position = std::max(pool->known_position, position);
  }
  const KnownPrimary known = this->primary(now);
  if (known.usable && known.name == endpoint) {
    this->history.Add(sent_at, position);
  }
}

void Dispatcher::NoteMemberPosition(TimePoint asked_at, const LogPosition& position) {
  this->history.Add(asked_at, position);
}

const statements::PositionHistory& Dispatcher::History() const { return this->history; }

std::size_t Dispatcher::Waiting() const { return this->queue.size(); }

}  // namespace amaranthlane::proxy
