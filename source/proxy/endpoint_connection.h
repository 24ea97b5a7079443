#ifndef AMARANTHLANE_PROXY_ENDPOINT_CONNECTION_H_
#define AMARANTHLANE_PROXY_ENDPOINT_CONNECTION_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "common/boot_clock.h"
#include "core/failover/endpoint_status.h"
#include "core/statements/session_restore.h"
#include "proxy/statement_codec.h"

namespace amaranthlane::proxy {

// The whole answer to one message.
struct EndpointAnswer {
  // Rows and completion as the endpoint sent them, without the closing ready message.
  std::string frames;
  std::vector<std::string> rows;
  bool failed = false;
  statements::FailureCode code = statements::FailureCode::kFailed;
  std::string text;
  statements::TransactionStatus state = statements::TransactionStatus::kIdle;
  std::optional<LogPosition> position;
};

enum class ExchangeStatus : std::uint8_t {
  kAnswered,
  // The connection ended or the answer made no sense; what was sent may have run.
  kBroken,
  // No whole answer by the deadline; the connection is closed.
  kTimedOut,
};

// One connection to an endpoint. It carries one exchange at a time: some messages, and an answer to each. Used on one
// thread. A connection that failed is thrown away.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection> {
 public:
  using Opened = std::function<void(bool opened, const EndpointAnswer& refusal)>;
  using Answered = std::function<void(ExchangeStatus status, std::vector<EndpointAnswer> answers)>;

  EndpointConnection(boost::asio::io_context& loop, const StatementCodec& codec, failover::EndpointEntry endpoint);

  // Connects and waits until the endpoint is ready, at most until `deadline`.
  void Open(const VmName& who, TimePoint deadline, Opened callback);

  // Sends `messages`, which are `count` messages, and collects their answers. No exchange may be under way.
  void Exchange(std::string messages, std::size_t count, TimePoint deadline, Answered callback);

  // Ends an exchange whose deadline has passed.
  void CheckDeadline(TimePoint now);

  // Closes at once; an exchange under way ends as kBroken.
  void Close();

  bool Closed() const;
  bool Busy() const;
  const failover::EndpointEntry& Endpoint() const;
  // When the exchange under way was sent.
  TimePoint SentAt() const;
  // When bytes came last.
  TimePoint LastHeard() const;

  // What the endpoint's connection holds of sessions' values and prepared statements.
  statements::ConnectionSessionState contents;
  // True when a transaction is open on it as far as the proxy knows.
  bool in_transaction = false;
  // When it was last given back to the pool.
  TimePoint idle_since;

 private:
  void Read();
  void OnBytes(std::size_t size);
  bool TakeFrame(std::string_view frame);
  void Finish(ExchangeStatus status);
  void Fail(ExchangeStatus status);

  boost::asio::ip::tcp::socket socket;
  const StatementCodec& codec;
  failover::EndpointEntry endpoint;
  std::array<char, 16384> chunk{};
  std::string received;
  std::string sending;
  std::size_t expected = 0;
  std::vector<EndpointAnswer> answers;
  EndpointAnswer current;
  TimePoint deadline = kNever;
  TimePoint sent_at;
  TimePoint last_heard;
  Opened on_opened;
  Answered on_answered;
  bool closed = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_ENDPOINT_CONNECTION_H_
