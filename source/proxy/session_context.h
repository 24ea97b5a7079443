#ifndef AMARANTHLANE_PROXY_SESSION_CONTEXT_H_
#define AMARANTHLANE_PROXY_SESSION_CONTEXT_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>
#include <vector>

#include "core/statements/statement.h"
#include "proxy/configuration.h"
#include "proxy/dispatcher.h"
#include "proxy/statement_codec.h"

namespace amaranthlane::proxy {

// How one statement, or the opening of a session, ended; for logs and metrics.
struct StatementEnd {
  std::string id;
  std::string database;
  std::string kind;
  // "done" or the name of a failure.
  std::string outcome;
  std::string why;
  EndpointName endpoint;
  Rank rank = Rank::kNormal;
  bool failed = false;
  int attempts = 0;
  // Times that endpoints turned it away unrun.
  int turned_away = 0;
  std::chrono::microseconds took{};
  // The part of that before the last endpoint got it.
  std::chrono::microseconds waited{};
  // What the operation should take; zero: not stated.
  std::chrono::microseconds target{};
  // What the decision rested on.
  std::uint64_t configuration_version = 0;
  std::uint64_t record_version = 0;
};

// What sessions need of the node that they live on.
class SessionContext {
 public:
  virtual ~SessionContext() = default;

  virtual const StatementCodec& Codec() const = 0;
  // Null until the first configuration is known.
  virtual const Configuration* CurrentConfiguration() const = 0;
  // Null when the group has no endpoints yet.
  virtual Dispatcher* FindDispatcher(const GroupName& group) = 0;
  // True when an answer that a connection to `endpoint` just gave may be passed on as a commit: no other primary can
  // have taken over before it came.
  virtual bool MayAcknowledge(const GroupName& group, const EndpointName& endpoint, TimePoint now) const = 0;
  virtual std::uint64_t RecordVersion() const = 0;
  // Runs the dispatchers soon.
  virtual void PumpSoon() = 0;
  // Where to pass on sessions of the group, in the order to try; empty: this VM serves them.
  virtual std::vector<std::string> CarriersOf(const GroupName& group) = 0;
  // Takes a session over from the one that held its socket; `beginning` are the caller's bytes so far.
  virtual void Relay(boost::asio::ip::tcp::socket socket, std::string beginning, std::vector<std::string> gateways,
                     Duration statement_limit) = 0;
  virtual void ServeHere(boost::asio::ip::tcp::socket socket, std::string beginning) = 0;
  virtual void OnStatementEnd(const StatementEnd& end) = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SESSION_CONTEXT_H_
