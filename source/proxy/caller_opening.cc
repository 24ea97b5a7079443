#include <string>
#include <utility>

#include "proxy/caller_session.h"

// How a session is opened, here or at a gateway, and on behalf of which organisation it works.
namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionStatus;

namespace {

// How long the opening of a session waits until this VM has the newest configuration. A relayed session waits for less
// time, so that the relaying VM can try another gateway.
constexpr std::chrono::milliseconds kOpenTimeout{1500};
constexpr std::chrono::milliseconds kRelayedOpenTimeout{400};
constexpr char kUnknownKeyReason[] = "the API key is unknown";
constexpr char kLostAccessReason[] = "the API key no longer gives access";

}  // namespace

void CallerSession::OnOpenSession(const OpenSession& message) {
  this->pending_open = message;
  this->open_deadline = BootClock::now() + (this->source == SessionSource::kRelay ? kRelayedOpenTimeout : kOpenTimeout);
  this->TryOpen();
}

void CallerSession::CheckOpenDeadline(TimePoint now) {
  if (now < this->open_deadline) {
    return;
  }
  this->pending_open.reset();
  if (this->source == SessionSource::kRelay) {
    // The relaying VM tries another gateway.
    this->Close();
    return;
  }
  this->Send(this->context.Codec().EncodeFailure(FailureCode::kNotRun,
                                                 "retry_after_ms=500 this VM does not have the newest configuration"));
  this->close_after_write = true;
}

void CallerSession::TryOpen() {
  const Configuration* configuration = this->context.CurrentConfiguration();
  this->SendRelayNotice();
  if (!this->context.ConfigurationIsNewest()) {
    this->CheckOpenDeadline(BootClock::now());
    return;
  }
  const OpenSession message = std::move(*this->pending_open);
  this->pending_open.reset();
  const auto route = configuration->routes.find(message.database);
  if (route == configuration->routes.end()) {
    this->RefuseOpening(message.database, FailureCode::kUnknownDatabase, message.database);
    return;
  }
  this->key = this->source == SessionSource::kCaller ? access::HashKey(message.credential)
                                                     : access::ParseRelayedCredential(message.credential);
  const access::AccessDecision decision = configuration->access.Authorize(this->key, route->second.is_public);
  if (!decision.allowed) {
    this->RefuseOpening(message.database, FailureCode::kDenied, kUnknownKeyReason);
    return;
  }
  if (this->Relay(route->second, decision.organisation)) {
    return;
  }
  this->database = message.database;
  this->group = route->second.group;
  this->Send(this->context.Codec().EncodeReady(TransactionStatus::kIdle));
}

void CallerSession::RefuseOpening(const std::string& wanted_database, FailureCode code, const std::string& reason) {
  StatementReport report;
  report.database = wanted_database;
  report.kind = "open";
  report.outcome = statements::FailureCodeName(code);
  report.reason = code == FailureCode::kUnknownDatabase ? "" : reason;
  report.failed = true;
  report.configuration_version = this->context.CurrentConfiguration()->version;
  this->context.OnStatementFinished(report);
  this->Send(this->context.Codec().EncodeFailure(code, reason));
  this->close_after_write = true;
}

bool CallerSession::Relay(const Route& route, const OrganisationName& for_organisation) {
  // A socket with a pending read can't be handed over.
  if (this->source != SessionSource::kCaller || this->reading) {
    return false;
  }
  std::vector<gateways::FleetVm> gateways = this->context.GatewaysFor(route.group, for_organisation);
  if (gateways.empty()) {
    return false;
  }
  this->closed = true;
  // The gateway gets the digest in place of the key.
  const bool keys_required = this->context.CurrentConfiguration()->access.RequiresKeys();
  const std::string opening =
      keys_required ? this->context.Codec().EncodeOpenSession({route.database, access::RelayedCredential(*this->key)})
                    : this->open_frame;
  this->context.Relay(std::move(this->socket), opening + this->reader.TakeRest(), std::move(gateways), route);
  return true;
}

access::AccessDecision CallerSession::Authorize(const Configuration& configuration) const {
  const auto route = configuration.routes.find(this->database);
  const bool public_route = route != configuration.routes.end() && route->second.is_public;
  return configuration.access.Authorize(this->key, public_route);
}

bool CallerSession::HasAccess() const {
  const Configuration* configuration = this->context.CurrentConfiguration();
  return !configuration->access.RequiresKeys() || this->Authorize(*configuration).allowed;
}

bool CallerSession::OrganisationChanged() const {
  const Configuration* configuration = this->context.CurrentConfiguration();
  return configuration->access.RequiresKeys() && this->Authorize(*configuration).organisation != this->organisation;
}

void CallerSession::Deny(const Statement& statement) {
  this->AbortOpenTransaction(kLostAccessReason);
  if (statement.kind == StatementKind::kRollback) {
    this->EndTransactionLocally(statement);
    return;
  }
  StatementReport report;
  report.id = statement.id;
  report.database = this->database;
  report.organisation = this->organisation;
  report.kind = "statement";
  report.outcome = statements::FailureCodeName(FailureCode::kDenied);
  report.reason = kLostAccessReason;
  report.failed = true;
  report.configuration_version = this->context.CurrentConfiguration()->version;
  this->context.OnStatementFinished(report);
  if (statement.kind == StatementKind::kCommit) {
    this->transaction.reset();
  }
  this->Send(this->context.Codec().EncodeFailure(FailureCode::kDenied, kLostAccessReason) +
             this->context.Codec().EncodeReady(this->CurrentStatus()));
}

bool CallerSession::RefuseForChangedAccess() {
  const bool has_access = this->HasAccess();
  if (has_access && !this->OrganisationChanged()) {
    return false;
  }
  this->ReturnConnection();
  if (has_access) {
    this->OnRefusal({"the API key now belongs to another organisation", Duration::zero()});
    return true;
  }
  this->EndTransactionAfterRefusal(kLostAccessReason);
  this->FailStatement(this->operation->may_have_run ? FailureCode::kTimedOut : FailureCode::kDenied, kLostAccessReason);
  return true;
}

}  // namespace amaranthlane::proxy
