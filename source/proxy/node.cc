#include "proxy/node.h"

#include <algorithm>
#include <utility>

#include "metrics/process_memory.h"
#include "net/address.h"
#include "net/error.h"

namespace amaranthlane::proxy {

namespace {

constexpr std::chrono::milliseconds kTickInterval{10};
constexpr std::chrono::milliseconds kSessionTickInterval{100};
// The load balancer checks each second and removes a VM after two refusals.
constexpr std::chrono::milliseconds kBalancerDetectionTime{2300};
// The share of the grace period after which open transactions are aborted.
constexpr double kTransactionGraceShare = 0.5;
// How long before the end of the grace period the sessions that are still open are closed.
constexpr std::chrono::milliseconds kForcedCloseReserve{400};
constexpr int kListenBacklog = 512;
constexpr double kStatementLogLinesPerSecond = 40;
constexpr double kStatementLogBurst = 200;
constexpr double kEndpointLogLinesPerSecond = 20;
constexpr double kEndpointLogBurst = 200;
constexpr unsigned kServiceUnavailable = 503;
constexpr char kStoreSource[] = "store";
constexpr char kShutdownReason[] = "the VM is shutting down";
constexpr char kStatementsMetric[] = "amaranthlane_statements_total";

coordination::Self MakeSelf(const Settings& settings, Incarnation incarnation) {
  const std::string& peers =
      settings.advertised_peers_address.empty() ? settings.peers_address : settings.advertised_peers_address;
  return {settings.vm, incarnation, peers, settings.relay_address, settings.data_centre, settings.processor_share};
}

// -1 if the time was never set.
std::int64_t AgeInMilliseconds(TimePoint at) {
  if (at == TimePoint()) {
    return -1;
  }
  return std::chrono::duration_cast<std::chrono::milliseconds>(BootClock::now() - at).count();
}

void Listen(boost::asio::ip::tcp::acceptor& acceptor, const std::string& text) {
  const net::Address address = net::ParseAddress(text);
  const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip), address.port);
  try {
    acceptor.open(endpoint.protocol());
    acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen(kListenBacklog);
  } catch (const boost::system::system_error& failure) {
    throw net::ListenError("cannot listen on " + text + ": " + failure.what());
  }
}

}  // namespace

Node::Node(boost::asio::io_context& loop, const Settings& settings, Incarnation incarnation,
           const StatementCodec& codec, PlatformServices& platform)
    : loop(loop),
      settings(settings),
      codec(codec),
      platform(platform),
      acceptor(loop),
      relay_acceptor(loop),
      operators_server(loop, net::ParseAddress(settings.operators_address), {},
                       [this](const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer) {
                         this->AnswerOperatorRequest(request, answer);
                       }),
      peers_server(loop, net::ParseAddress(settings.peers_address), {},
                   [this](const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer) {
                     this->AnswerPeerRequest(request, answer);
                   }),
      timer(loop),
      coordination(MakeSelf(settings, incarnation), {}),
      failover({}),
      store_sync(settings.vm, {}),
      permit_requester(settings.vm, {}),
      statement_log_limiter(kStatementLogLinesPerSecond, kStatementLogBurst),
      endpoint_log_limiter(kEndpointLogLinesPerSecond, kEndpointLogBurst) {}

Node::~Node() {
  for (const auto& session : this->sessions) {
    session->Close();
  }
  this->platform.CancelPromotions();
}

void Node::Start() {
  Listen(this->acceptor, this->settings.callers_address);
  if (!this->settings.relay_address.empty()) {
    Listen(this->relay_acceptor, this->settings.relay_address);
    this->Accept(this->relay_acceptor, SessionSource::kRelay);
  }
  this->operators_server.Start();
  this->peers_server.Start();
  this->platform.SubscribeToConfiguration([this](const Configuration& update, TimePoint current_at) {
    this->OnConfiguration(update, kStoreSource);
    this->store_sync.ConfirmConfiguration(current_at);
  });
  this->platform.SubscribeToDirectory([this](DirectorySnapshot update, TimePoint current_at) {
    this->registry
        .GetGauge("amaranthlane_directory_invalid_entries",
                  "Entries of the store's directory that are left out because they are invalid, at the last read.")
        .value = static_cast<double>(update.invalid_entries);
    this->OnDirectory(std::move(update));
    this->store_sync.ConfirmDirectory(current_at);
  });
  logging::Write(logging::Level::kInfo, "started",
                 {{"callers", this->settings.callers_address}, {"peers", this->settings.peers_address}});
  this->Accept(this->acceptor, SessionSource::kCaller);
  this->Tick();
}

void Node::Accept(boost::asio::ip::tcp::acceptor& listener, SessionSource source) {
  listener.async_accept(
      [this, &listener, source](boost::system::error_code error, boost::asio::ip::tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) {
          return;
        }
        if (!error) {
          const auto session = std::make_shared<CallerSession>(std::move(socket), *this, source);
          this->sessions.insert(session);
          session->Start();
        } else {
          logging::Write(logging::Level::kWarning, "accepting a connection failed", {{"why", error.message()}});
        }
        this->Accept(listener, source);
      });
}

void Node::Tick() {
  const TimePoint now = BootClock::now();
  if (this->next_tick > TimePoint()) {
    this->longest_stall = std::max(this->longest_stall, now - this->next_tick);
  }
  this->TickCoordination(now);
  this->TickEndpoints(now);
  this->TickQuotas(now);
  for (const auto& [group, dispatcher] : this->dispatchers) {
    dispatcher->Dispatch(now);
  }
  if (now >= this->next_session_tick) {
    this->next_session_tick = now + kSessionTickInterval;
    this->TickSessions(now);
    this->UpdateGauges(now);
  }
  this->TickShutdown(now);
  this->next_tick = BootClock::now() + kTickInterval;
  this->timer.expires_after(kTickInterval);
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->Tick();
    }
  });
}

void Node::TickSessions(TimePoint now) {
  std::erase_if(this->sessions, [](const auto& session) { return session->Closed(); });
  const std::set<std::shared_ptr<Session>> all = this->sessions;
  for (const auto& session : all) {
    session->Tick(now);
  }
}

void Node::UpdateGauges(TimePoint now) {
  const auto set_age = [this, now](const char* name, const char* help, TimePoint at) {
    this->registry.GetGauge(name, help).value = std::chrono::duration<double>(now - at).count();
  };
  set_age("amaranthlane_configuration_age_seconds", "Time since this VM's configuration was known to be the newest.",
          this->store_sync.Currency().configuration_at);
  set_age("amaranthlane_directory_age_seconds", "Time since this VM's directory was known to be the newest.",
          this->store_sync.Currency().directory_at);
  const auto set = [this](const char* name, const char* help, std::uint64_t value) {
    this->registry.GetGauge(name, help).value = static_cast<double>(value);
  };
  const coordination::CoordinationRecord* record = this->coordination.Record();
  std::uint64_t changing = 0;
  if (record != nullptr) {
    changing = static_cast<std::uint64_t>(std::count_if(record->groups.begin(), record->groups.end(),
                                                        [](const auto& group) { return group.second.changing; }));
  }
  const auto unreachable = std::count_if(this->endpoints.begin(), this->endpoints.end(),
                                         [](const auto& known) { return !known.second.pool->Reachable(); });
  std::uint64_t waiting = 0;
  for (const auto& [group, dispatcher] : this->dispatchers) {
    waiting += dispatcher->WaitingCount();
  }
  set("amaranthlane_sessions", "Callers' sessions on this VM.", this->sessions.size());
  set("amaranthlane_statements_waiting", "Statements that wait for a connection.", waiting);
  set("amaranthlane_may_use_primaries", "1 while this VM's lease from the members is valid.",
      now < this->coordination.LeaseExpiry() ? 1 : 0);
  set("amaranthlane_holds_duty", "1 on the coordinator, which orders promotions.",
      this->coordination.IsCoordinator() ? 1 : 0);
  set("amaranthlane_groups_changing", "Groups whose primary is being changed.", changing);
  set("amaranthlane_endpoints_out_of_reach", "Endpoints that this VM can't reach.",
      static_cast<std::uint64_t>(unreachable));
  set("amaranthlane_groups_awaiting_log",
      "Groups without a primary because a log that may hold acknowledged commits is missing; on the coordinator.",
      this->failover.GroupsAwaitingLog());
  set("amaranthlane_departed_logs",
      "Endpoints that have left the directory with a log that may hold acknowledged commits.",
      this->failover.DepartedLogCount());
  set("amaranthlane_record_version", "Version of the coordination record that this VM uses.", this->RecordVersion());
  set("amaranthlane_store_era", "Era of the store, which rises when it is restored from an older copy.",
      this->coordination.NewestStoreEra());
  set("amaranthlane_quota_waiting", "Operations that wait for a permit.", this->permit_requester.WaitingCount());
  set("amaranthlane_quota_allocating", "1 on members that allocate permits.",
      this->coordination.AllocationShareCount(now) ? 1 : 0);
  std::uint64_t opened = 0;
  for (const auto& [name, known] : this->endpoints) {
    opened += known.pool->TotalOpened();
  }
  set("amaranthlane_endpoint_connections_opened", "Connections opened to the endpoints that this VM knows.", opened);
  set("amaranthlane_configuration_version", "Version of the configuration that this VM uses.",
      this->configuration ? this->configuration->version : 0);
}

void Node::UpdateProcessGauges() {
  const auto set = [this](const char* name, const char* help, double value) {
    this->registry.GetGauge(name, help).value = value;
  };
  const metrics::ProcessMemory memory = metrics::ReadProcessMemory();
  set("amaranthlane_resident_bytes", "Physical memory of this process.", static_cast<double>(memory.resident));
  set("amaranthlane_allocated_bytes", "Memory that this process has allocated and not released.",
      static_cast<double>(memory.allocated));
  set("amaranthlane_allocator_free_bytes", "Memory that the allocator keeps for later allocations.",
      static_cast<double>(memory.kept_by_allocator));
  set("amaranthlane_event_loop_longest_stall_seconds",
      "The longest time for which the event loop was kept from its timer, since the process started.",
      std::chrono::duration<double>(this->longest_stall).count());
}

void Node::Shutdown() {
  if (this->shutdown_at) {
    return;
  }
  this->shutdown_at = BootClock::now();
  // Other VMs now relay their sessions to other gateways.
  boost::system::error_code ignored;
  this->relay_acceptor.close(ignored);
  logging::Write(logging::Level::kInfo, "shutting down", {{"sessions", this->sessions.size()}});
}

void Node::TickShutdown(TimePoint now) {
  if (!this->shutdown_at) {
    return;
  }
  const Duration grace = this->settings.shutdown_grace_period;
  const Duration elapsed = now - *this->shutdown_at;
  if (elapsed < kBalancerDetectionTime) {
    return;
  }
  if (this->acceptor.is_open()) {
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
  }
  const bool abort_transactions =
      elapsed > Duration(static_cast<Duration::rep>(static_cast<double>(grace.count()) * kTransactionGraceShare));
  const std::set<std::shared_ptr<Session>> all = this->sessions;
  for (const auto& session : all) {
    if (abort_transactions) {
      session->AbortTransaction(kShutdownReason);
    }
    if (session->CloseWhenIdle(kShutdownReason) || elapsed > grace - kForcedCloseReserve) {
      session->Close();
      this->sessions.erase(session);
    }
  }
  if (this->sessions.empty()) {
    logging::Write(logging::Level::kInfo, "stopped");
    this->loop.stop();
  }
}

void Node::Reload(const Settings& update) {
  logging::Write(logging::Level::kInfo, "settings reloaded",
                 {{"shutdown_grace_ms", update.shutdown_grace_period.count()}, {"log_level", update.log_level}});
  this->settings.shutdown_grace_period = update.shutdown_grace_period;
  this->settings.log_level = update.log_level;
  logging::Initialize(this->settings.vm, this->settings.log_level);
}

bool Node::Ready() const {
  return !this->shutdown_at && this->configuration && this->directory_known && this->coordination.Record() != nullptr;
}

void Node::AnswerOperatorRequest(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer) {
  net::HttpResponse response;
  if (net::TargetPath(request.target) == "/metrics") {
    this->UpdateProcessGauges();
    response.content_type = "text/plain; version=0.0.4";
    response.body = this->registry.Expose();
  } else {
    response.status = this->Ready() ? response.status : kServiceUnavailable;
    response.body = "{}";
  }
  answer(std::move(response));
}

void Node::OnConfiguration(const Configuration& update, const std::string& source) {
  if (this->configuration && update.version <= this->configuration->version) {
    return;
  }
  logging::Write(logging::Level::kInfo, "configuration applied",
                 {{"source", source},
                  {"version", update.version},
                  {"former_version", this->configuration ? this->configuration->version : 0},
                  {"routes", update.routes.size()},
                  {"groups", update.groups.size()},
                  {"organisations", update.access.Organisations().size()},
                  {"former_current_ms_ago", AgeInMilliseconds(this->store_sync.Currency().configuration_at)}});
  if (this->configuration) {
    this->LogAccessChanges(this->configuration->access, update);
  }
  this->configuration = update;
  this->store_sync.SetConfigurationVersion(update.version);
  if (update.version >= this->newest_configuration.version) {
    this->newest_configuration = {update.version, this->coordination.OwnAddress()};
  }
  LogConfigurationProblems(update);
  this->ApplyRateLimits(update);
  // Statements may have waited for it.
  this->next_session_tick = TimePoint();
  this->synchronous_replicas.clear();
  for (const auto& [group, group_settings] : this->configuration->groups) {
    this->synchronous_replicas[group] = group_settings.synchronous_replicas;
  }
  if (this->AddNamedGroups(update) && this->directory_known) {
    // For how long the endpoints of the new groups have been draining isn't known.
    this->UseDirectory(TimePoint());
  } else {
    this->failover.OnDirectory(this->known_directory, this->synchronous_replicas, BootClock::now());
  }
}

const StatementCodec& Node::Codec() const { return this->codec; }

const Configuration* Node::CurrentConfiguration() const {
  return this->configuration ? &*this->configuration : nullptr;
}

const KnownConfiguration& Node::NewestConfiguration() const { return this->newest_configuration; }

void Node::LearnConfiguration(const KnownConfiguration& known) {
  if (known.version <= this->newest_configuration.version) {
    return;
  }
  logging::Write(logging::Level::kInfo, "a session's other VM uses a newer configuration",
                 {{"peer", known.address},
                  {"own_version", this->configuration ? this->configuration->version : 0},
                  {"peer_version", known.version}});
  this->newest_configuration = known;
  store_sync::Actions actions;
  const TimePoint now = BootClock::now();
  this->store_sync.OnNewerConfiguration(known.address, known.version, now, actions);
  this->PerformStoreSync(actions, now);
}

Dispatcher* Node::FindDispatcher(const GroupName& group) {
  const auto found = this->dispatchers.find(group);
  return found == this->dispatchers.end() ? nullptr : found->second.get();
}

bool Node::MayAcknowledgeCommit(const GroupName& group, const EndpointName& endpoint, TimePoint now) const {
  const coordination::CoordinationRecord* record = this->coordination.Record();
  if (record == nullptr || now >= this->coordination.LeaseExpiry()) {
    return false;
  }
  const auto found = record->groups.find(group);
  return found != record->groups.end() && found->second.primary == endpoint;
}

std::uint64_t Node::RecordVersion() const {
  return this->coordination.Record() == nullptr ? 0 : this->coordination.Record()->version;
}

void Node::Relay(boost::asio::ip::tcp::socket socket, std::string initial_bytes,
                 std::vector<gateways::FleetVm> gateways, const Route& route) {
  const auto session =
      std::make_shared<RelayedSession>(std::move(socket), *this, std::move(initial_bytes), std::move(gateways), route);
  this->sessions.insert(session);
  session->Start();
}

void Node::ServeLocally(boost::asio::ip::tcp::socket socket, std::string initial_bytes) {
  const auto session = std::make_shared<CallerSession>(std::move(socket), *this, SessionSource::kCallerWithoutGateway);
  this->sessions.insert(session);
  session->Start(std::move(initial_bytes));
}

void Node::ScheduleDispatch() {
  if (this->dispatch_scheduled) {
    return;
  }
  this->dispatch_scheduled = true;
  boost::asio::post(this->loop, [this] {
    this->dispatch_scheduled = false;
    const TimePoint now = BootClock::now();
    for (const auto& [group, dispatcher] : this->dispatchers) {
      dispatcher->Dispatch(now);
    }
  });
}

void Node::OnStatementFinished(const StatementReport& report) {
  this->registry
      .GetCounter(kStatementsMetric, "Statements by outcome.", {{"kind", report.kind}, {"outcome", report.outcome}})
      .value++;
  this->registry
      .GetHistogram("amaranthlane_statement_seconds", "Time from a statement's arrival to its answer.",
                    {{"rank", std::string(RankName(report.rank))}})
      .Add(report.duration);
  const TimePoint now = BootClock::now();
  const bool late = report.target_latency.count() > 0 && report.duration > report.target_latency;
  if ((!report.failed && !late) || !this->statement_log_limiter.Admit(now)) {
    return;
  }
  logging::Write(logging::Level::kInfo, report.failed ? "statement failed" : "statement exceeded its target latency",
                 {{"id", report.id},
                  {"database", report.database},
                  {"organisation", report.organisation},
                  {"kind", report.kind},
                  {"outcome", report.outcome},
                  {"why", report.reason},
                  {"endpoint", report.endpoint},
                  {"attempts", report.attempts},
                  {"turned_away", report.rejections},
                  {"took_us", report.duration.count()},
                  {"waited_us", report.wait_time.count()},
                  {"configuration_version", report.configuration_version},
                  {"record_version", report.record_version},
                  {"lines_suppressed", this->statement_log_limiter.TakeSuppressedCount()}});
}

}  // namespace amaranthlane::proxy
