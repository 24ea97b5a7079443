#ifndef AMARANTHLANE_PROXY_SESSION_CONTEXT_H_
#define AMARANTHLANE_PROXY_SESSION_CONTEXT_H_

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>
#include <vector>

#include "core/gateways/gateway_choice.h"
#include "core/quotas/permit_requester.h"
#include "core/statements/statement.h"
#include "proxy/configuration.h"
#include "proxy/dispatcher.h"
#include "proxy/relay_notice.h"
#include "proxy/statement_codec.h"

namespace amaranthlane::proxy {

// How a statement, or the opening of a session, ended. For logs and metrics.
struct StatementReport {
  std::string id;
  std::string database;
  OrganisationName organisation;
  std::string kind;
  // "done" or the name of a failure code.
  std::string outcome;
  std::string reason;
  EndpointName endpoint;
  Rank rank = Rank::kNormal;
  bool failed = false;
  int attempts = 0;
  // How often endpoints rejected the statement without running it.
  int rejections = 0;
  std::chrono::microseconds duration{};
  // The part of `duration` before the last connection was granted.
  std::chrono::microseconds wait_time{};
  // The route's target latency; zero: none.
  std::chrono::microseconds target_latency{};
  // The versions of the configuration and of the coordination record that were in effect.
  std::uint64_t configuration_version = 0;
  std::uint64_t record_version = 0;
};

// Called with null when an operation may run, otherwise with the refusal.
using PermitCallback = std::function<void(const Refusal* refusal)>;

// What sessions need from the node that they belong to.
class SessionContext {
 public:
  virtual ~SessionContext() = default;

  virtual const StatementCodec& Codec() const = 0;
  // Null until the first configuration has been received.
  virtual const Configuration* CurrentConfiguration() const = 0;
  // The newest configuration that this VM knows of, its own or one that another VM has already used.
  virtual const KnownConfiguration& NewestConfiguration() const = 0;
  // Another VM uses this configuration. If it is newer than any known one, this VM fetches it.
  virtual void LearnConfiguration(const KnownConfiguration& known) = 0;
  // False while this VM has no configuration, or knows of a newer one that it hasn't received yet. No request may be
  // served by the configuration then.
  bool ConfigurationIsNewest() const {
    const Configuration* configuration = this->CurrentConfiguration();
    return configuration != nullptr && configuration->version >= this->NewestConfiguration().version;
  }
  // Null until an endpoint of the group is known.
  virtual Dispatcher* FindDispatcher(const GroupName& group) = 0;
  // True when a commit that `endpoint` has just answered may be acknowledged to the caller: `endpoint` is the group's
  // primary and this VM's lease is valid, so no other primary can have taken over before the answer arrived.
  virtual bool MayAcknowledgeCommit(const GroupName& group, const EndpointName& endpoint, TimePoint now) const = 0;
  virtual std::uint64_t RecordVersion() const = 0;
  // Schedules a run of all dispatchers on the event loop.
  virtual void ScheduleDispatch() = 0;
  // The gateways that serve the organisation's sessions of the group, in the order to try. Empty: this VM serves them.
  // `organisation` is empty for sessions of none.
  virtual std::vector<gateways::FleetVm> GatewaysFor(const GroupName& group, const OrganisationName& organisation) = 0;
  // Obtains a permit for an operation of an organisation. Returns 0 if the operation may run now; otherwise an id, and
  // the callback runs once. A callback that is due already runs in spite of CancelPermit().
  virtual quotas::OperationId AcquirePermit(const OrganisationName& organisation, PermitCallback callback) = 0;
  // Does nothing for 0 and for ids whose callback is due.
  virtual void CancelPermit(quotas::OperationId id) = 0;
  // Relay and ServeLocally take over the socket of a session: they create a new Session object that continues it.
  // `initial_bytes` are the bytes that the caller has sent so far.
  virtual void Relay(boost::asio::ip::tcp::socket socket, std::string initial_bytes,
                     std::vector<gateways::FleetVm> gateways, const Route& route) = 0;
  virtual void ServeLocally(boost::asio::ip::tcp::socket socket, std::string initial_bytes) = 0;
  virtual void OnStatementFinished(const StatementReport& report) = 0;
  // Logs and counts a caller's message that is no statement and was refused. `database` is empty before the session is
  // open.
  void ReportRejectedMessage(const std::string& database, statements::FailureCode code, const std::string& reason);
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SESSION_CONTEXT_H_
