#include "proxy/endpoint_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "common/error.h"

namespace amaranthlane::proxy {

namespace {

// Connections reserved for urgent statements: the others can't open the last one.
constexpr std::size_t kReservedForUrgent = 1;
// The number of connections that may be opened at the same time. Each takes one of the endpoint's slots for a while.
constexpr std::size_t kMaxConcurrentOpens = 2;
// The weight of the newest value in the moving average of the latency.
constexpr double kLatencyWeight = 0.2;
// The time in which the average decays to half, so that an endpoint that was slow is tried again.
constexpr double kLatencyHalfLifeMs = 1500;
constexpr double kMinLatencyMs = 3;
// How long a replica gets no reads after it lacked a position: at first, and at most.
constexpr std::chrono::milliseconds kInitialLaggingBackoff{8};
constexpr std::chrono::milliseconds kMaxLaggingBackoff{250};
// A replica whose backoff has grown to this, after several rejections in a row, is logged as lagging.
constexpr std::chrono::milliseconds kReportedLaggingBackoff{64};

// How well the session values that a connection holds suit a session. Values can only be removed by a reset.
enum class ValuesMatch : std::uint8_t { kOther, kNone, kSame };

ValuesMatch MatchValues(const statements::SessionValues& held, const statements::SessionValues& wanted) {
  if (held == wanted) {
    return ValuesMatch::kSame;
  }
  return held.empty() ? ValuesMatch::kNone : ValuesMatch::kOther;
}

double Milliseconds(Duration duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

}  // namespace

EndpointPool::EndpointPool(boost::asio::io_context& loop, const StatementCodec& codec, VmName vm,
                           failover::EndpointEntry endpoint, const PoolSettings& settings, PoolEvents events)
    : loop(loop),
      codec(codec),
      vm(std::move(vm)),
      endpoint(std::move(endpoint)),
      settings(settings),
      events(std::move(events)) {}

EndpointPool::~EndpointPool() {
  *this->alive = false;
  this->CloseAll();
}

const std::string& EndpointPool::IdentityFor(const OrganisationName& organisation) const {
  return organisation.empty() ? this->vm : organisation;
}

void EndpointPool::RemoveClosedIdle() {
  std::erase_if(this->idle, [](const auto& connection) { return connection->Closed(); });
}

std::shared_ptr<EndpointConnection> EndpointPool::Take(const statements::SessionValues& values,
                                                       const OrganisationName& organisation) {
  this->RemoveClosedIdle();
  const std::string& identity = this->IdentityFor(organisation);
  auto best = this->idle.rend();
  ValuesMatch best_match = ValuesMatch::kOther;
  for (auto candidate = this->idle.rbegin(); candidate != this->idle.rend(); ++candidate) {
    if ((*candidate)->Identity() != identity) {
      continue;
    }
    const ValuesMatch match = MatchValues((*candidate)->session_state.values, values);
    if (best == this->idle.rend() || match > best_match) {
      best = candidate;
      best_match = match;
    }
  }
  if (best == this->idle.rend()) {
    return nullptr;
  }
  std::shared_ptr<EndpointConnection> taken = *best;
  this->idle.erase(std::next(best).base());
  return taken;
}

std::shared_ptr<EndpointConnection> EndpointPool::TakeForCommand() {
  this->RemoveClosedIdle();
  if (this->idle.empty()) {
    return nullptr;
  }
  std::shared_ptr<EndpointConnection> taken = this->idle.back();
  this->idle.pop_back();
  return taken;
}

bool EndpointPool::OpenFor(Rank rank, TimePoint now, const OrganisationName& organisation) {
  if (!organisation.empty() && this->opening_organisations.count(organisation) > 0) {
    return true;
  }
  if (!this->reachable || now < this->refused_until || this->opening_count >= kMaxConcurrentOpens) {
    return false;
  }
  const std::size_t reserved = rank == Rank::kUrgent ? 0 : kReservedForUrgent;
  const std::size_t limit = std::max<std::size_t>(this->max_connections, 1 + reserved);
  // A pool above its limit, which was lowered, replaces no connection.
  const bool below_limit = this->connections.size() + reserved < limit;
  const std::string& identity = this->IdentityFor(organisation);
  const bool may_replace = this->connections.size() <= limit;
  if (!below_limit && !(may_replace && this->CloseIdleOfOther(identity))) {
    return false;
  }
  this->Open(now, identity, false);
  return true;
}

bool EndpointPool::CloseIdleOfOther(const std::string& identity) {
  this->RemoveClosedIdle();
  // Connections that were returned earlier come first.
  const auto other = std::find_if(this->idle.begin(), this->idle.end(),
                                  [&identity](const auto& connection) { return connection->Identity() != identity; });
  if (other == this->idle.end()) {
    return false;
  }
  const std::shared_ptr<EndpointConnection> closed = *other;
  this->idle.erase(other);
  closed->Close();
  std::erase(this->connections, closed);
  return true;
}

void EndpointPool::Open(TimePoint now, const std::string& identity, bool verification) {
  auto connection = std::make_shared<EndpointConnection>(this->loop, this->codec, this->endpoint);
  if (verification) {
    this->verifying = true;
  } else {
    ++this->opening_count;
    if (identity != this->vm) {
      this->opening_organisations.insert(identity);
    }
  }
  ++this->total_opened;
  this->last_sent = now;
  this->connections.push_back(connection);
  connection->Open(identity, now + this->settings.connect_timeout,
                   [this, alive = this->alive, connection, verification](bool opened, const EndpointAnswer& answer) {
                     if (*alive) {
                       this->OnOpened(connection, opened, answer, verification);
                     }
                   });
}

void EndpointPool::OnOpened(const std::shared_ptr<EndpointConnection>& connection, bool opened,
                            const EndpointAnswer& answer, bool verification) {
  const TimePoint now = BootClock::now();
  if (verification) {
    this->verifying = false;
  } else {
    --this->opening_count;
    this->opening_organisations.erase(connection->Identity());
  }
  if (opened) {
    this->last_received_at = now;
    this->SetReachable(true, "a new connection was accepted");
    if (answer.position && this->events.position_reported) {
      this->events.position_reported(this->endpoint, connection->SentAt(), *answer.position);
    }
    this->Release(connection, now);
    return;
  }
  std::erase(this->connections, connection);
  if (answer.failed && answer.code == statements::FailureCode::kConnectionLimit) {
    this->last_received_at = now;
    this->refused_until = now + (this->connections.empty() ? this->settings.refusal_backoff_without_connection
                                                           : this->settings.refusal_backoff);
    this->SetReachable(true, "the endpoint answered that it has too many connections");
    return;
  }
  const bool other_endpoint = answer.failed && answer.code == statements::FailureCode::kWrongEndpoint;
  if ((connection->Refused() || other_endpoint) && this->events.process_ended) {
    this->events.process_ended(this->endpoint);
  }
  this->next_attempt = now + this->settings.retry_interval;
  // A single connection that can't be opened is no sign of an unreachable endpoint while others get answers.
  if (now - this->last_received_at > this->settings.silence_timeout / 2 || this->connections.empty()) {
    this->SetReachable(
        false, answer.failed ? std::string(statements::FailureCodeName(answer.code)) : "a new connection failed");
  }
}

void EndpointPool::Release(const std::shared_ptr<EndpointConnection>& connection, TimePoint now) {
  if (connection->Closed() || connection->Busy() || connection->in_transaction) {
    connection->Close();
    std::erase(this->connections, connection);
  } else {
    connection->idle_since = now;
    this->idle.push_back(connection);
  }
  if (this->events.availability_changed) {
    this->events.availability_changed();
  }
}

void EndpointPool::SendCommand(std::string message, TimePoint now,
                               std::function<void(const EndpointAnswer&, TimePoint)> done) {
  const std::shared_ptr<EndpointConnection> connection = this->TakeForCommand();
  if (connection == nullptr) {
    if (this->opening_count == 0 && now >= this->next_attempt) {
      this->next_attempt = now + this->settings.retry_interval / 2;
      this->Open(now, this->vm, false);
    }
    return;
  }
  this->last_sent = now;
  connection->Exchange(std::move(message), 1, now + this->settings.command_timeout,
                       [this, alive = this->alive, connection, done = std::move(done)](
                           ExchangeStatus status, const std::vector<EndpointAnswer>& answers) {
                         if (!*alive) {
                           return;
                         }
                         const TimePoint answered_at = BootClock::now();
                         if (status == ExchangeStatus::kAnswered) {
                           this->last_received_at = answered_at;
                           if (answers.front().position && this->events.position_reported) {
                             this->events.position_reported(this->endpoint, connection->SentAt(),
                                                            *answers.front().position);
                           }
                           if (!answers.front().failed) {
                             done(answers.front(), connection->SentAt());
                           }
                         }
                         this->Release(connection, answered_at);
                       });
}

void EndpointPool::QueryStatus(TimePoint now) {
  this->last_status_query = now;
  this->SendCommand(this->codec.EncodeStatusQuery(), now, [this](const EndpointAnswer& answer, TimePoint sent_at) {
    if (answer.rows.empty() || !this->events.status_received) {
      return;
    }
    try {
      this->events.status_received(this->endpoint, this->codec.ParseStatus(answer.rows.front()), sent_at);
    } catch (const ParseError& failure) {
      this->SetReachable(this->reachable, failure.what());
    }
  });
}

void EndpointPool::SendStepDown(Term term, TimePoint now) {
  this->SendCommand(this->codec.EncodeStepDown(term), now, [](const EndpointAnswer&, TimePoint) {});
}

void EndpointPool::Tick(TimePoint now, Duration probe_interval) {
  const std::vector<std::shared_ptr<EndpointConnection>> all = this->connections;
  for (const auto& connection : all) {
    connection->CheckDeadline(now);
    this->last_received_at = std::max(this->last_received_at, connection->LastReceivedAt());
    if (connection->Busy()) {
      this->last_sent = std::max(this->last_sent, connection->SentAt());
    }
  }
  std::erase_if(this->idle, [](const auto& connection) { return connection->Closed(); });
  const std::size_t before = this->connections.size();
  std::erase_if(this->connections, [](const auto& connection) { return connection->Closed(); });
  if (before > 0 && this->connections.empty() && this->opening_count == 0) {
    // All connections have ended: the endpoint may be gone, so it is queried at once.
    this->last_sent = TimePoint();
    this->last_status_query = TimePoint();
  }
  this->CheckReachability(now);
  if (this->Passive() && this->connections.empty()) {
    // Whether the endpoint is reachable is unknown, and is checked when a statement needs it.
    this->reachable = true;
    return;
  }
  if (!this->reachable) {
    if (now >= this->next_attempt && this->opening_count == 0 && !this->verifying) {
      this->next_attempt = now + this->settings.retry_interval;
      this->Open(now, this->vm, true);
    }
    return;
  }
  const bool can_query = !this->Passive() && (!this->idle.empty() || this->connections.size() < this->max_connections);
  if (can_query && now >= std::max(this->last_sent, this->last_status_query) + probe_interval) {
    this->QueryStatus(now);
  }
  this->CloseSurplus(now);
}

void EndpointPool::CheckReachability(TimePoint now) {
  TimePoint oldest = kNever;
  for (const auto& connection : this->connections) {
    if (connection->Busy()) {
      oldest = std::min(oldest, connection->SentAt());
    }
  }
  if (oldest == kNever || !this->reachable || this->verifying) {
    return;
  }
  if (now > std::max(oldest, this->last_received_at) + this->settings.silence_timeout) {
    this->Open(now, this->vm, true);
  }
}

void EndpointPool::SetReachable(bool now_reachable, const std::string& reason) {
  if (this->reachable == now_reachable) {
    return;
  }
  this->reachable = now_reachable;
  if (this->events.reachability_changed) {
    this->events.reachability_changed(this->endpoint, now_reachable, reason);
  }
  if (!now_reachable) {
    this->CloseAll();
  }
  if (this->events.availability_changed) {
    this->events.availability_changed();
  }
}

void EndpointPool::CloseSurplus(TimePoint now) {
  while (this->connections.size() > this->max_connections && !this->idle.empty() &&
         now > this->idle.front()->idle_since + this->settings.surplus_idle_timeout) {
    const std::shared_ptr<EndpointConnection> surplus = this->idle.front();
    this->idle.erase(this->idle.begin());
    surplus->Close();
    std::erase(this->connections, surplus);
  }
}

void EndpointPool::SetLimits(std::size_t new_max_connections, std::size_t new_max_concurrency) {
  this->max_connections = new_max_connections;
  this->max_concurrency = new_max_concurrency;
}

bool EndpointPool::Passive() const { return this->max_connections == 0; }

bool EndpointPool::Quiescent() const { return this->Passive() && this->connections.empty() && this->reachable; }

bool EndpointPool::MayExecute(Rank rank) const {
  const auto executing = std::count_if(this->connections.begin(), this->connections.end(),
                                       [](const auto& connection) { return connection->Busy(); });
  const std::size_t extra = static_cast<std::size_t>(Rank::kBulk) - static_cast<std::size_t>(rank);
  return static_cast<std::size_t>(executing) < this->max_concurrency + extra;
}

void EndpointPool::SetEndpoint(const failover::EndpointEntry& update, TimePoint former_current_at) {
  if (!update.draining) {
    this->draining_since = kNever;
  } else if (this->draining_since == kNever) {
    this->draining_since = former_current_at;
  }
  this->endpoint = update;
}

bool EndpointPool::DrainingLongerThan(Duration duration, TimePoint now) const {
  return this->draining_since != kNever && now > this->draining_since + duration;
}

void EndpointPool::CloseAll() {
  const std::vector<std::shared_ptr<EndpointConnection>> all = std::exchange(this->connections, {});
  this->idle.clear();
  for (const auto& connection : all) {
    connection->Close();
  }
}

const failover::EndpointEntry& EndpointPool::Endpoint() const { return this->endpoint; }

bool EndpointPool::Reachable() const { return this->reachable; }

std::size_t EndpointPool::InUseCount() const {
  return this->connections.size() - this->idle.size() - this->opening_count;
}

std::size_t EndpointPool::IdleCount() const { return this->idle.size(); }

std::size_t EndpointPool::IdleCountOf(const OrganisationName& organisation) const {
  const std::string& identity = this->IdentityFor(organisation);
  return static_cast<std::size_t>(std::count_if(
      this->idle.begin(), this->idle.end(),
      [&identity](const auto& connection) { return !connection->Closed() && connection->Identity() == identity; }));
}

std::uint64_t EndpointPool::TotalOpened() const { return this->total_opened; }

Duration EndpointPool::ExpectedLatency(TimePoint now) const {
  const double age = Milliseconds(now - this->latency_updated_at);
  const double decayed = this->latency_ms * std::exp2(-age / kLatencyHalfLifeMs);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(std::max(decayed, kMinLatencyMs)));
}

void EndpointPool::MarkLagging(TimePoint now) {
  if (now < this->lagging_until) {
    return;
  }
  this->lagging_backoff = std::clamp<Duration>(this->lagging_backoff * 2, kInitialLaggingBackoff, kMaxLaggingBackoff);
  this->lagging_until = now + this->lagging_backoff;
  if (this->lagging_backoff >= kReportedLaggingBackoff && !std::exchange(this->lagging_reported, true) &&
      this->events.lagging_changed) {
    this->events.lagging_changed(this->endpoint, true, this->known_position);
  }
}

void EndpointPool::MarkCaughtUp() {
  this->lagging_backoff = Duration::zero();
  this->lagging_until = TimePoint();
  if (std::exchange(this->lagging_reported, false) && this->events.lagging_changed) {
    this->events.lagging_changed(this->endpoint, false, this->known_position);
  }
}

bool EndpointPool::Lagging(TimePoint now) const { return now < this->lagging_until; }

void EndpointPool::RecordLatency(Duration latency, TimePoint now) {
  const double previous = Milliseconds(this->ExpectedLatency(now));
  this->latency_ms = previous + kLatencyWeight * (Milliseconds(latency) - previous);
  this->latency_updated_at = now;
}

}  // namespace amaranthlane::proxy
