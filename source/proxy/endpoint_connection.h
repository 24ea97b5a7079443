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
#include "proxy/frame_reader.h"
#include "proxy/statement_codec.h"

namespace amaranthlane::proxy {

// The complete answer to one message.
struct EndpointAnswer {
  // Rows and completion as the endpoint sent them, without the closing ready message.
  std::string frames;
  std::vector<std::string> rows;
  bool failed = false;
  // The endpoint has sent the completion or a failure; only the ready message may follow.
  bool ended = false;
  // Another attempt would fail in the same way.
  bool permanent = false;
  statements::FailureCode code = statements::FailureCode::kFailed;
  std::string text;
  statements::TransactionStatus state = statements::TransactionStatus::kIdle;
  std::optional<LogPosition> position;
};

enum class ExchangeStatus : std::uint8_t {
  kAnswered,
  // The connection ended or the answer was malformed. The statements that were sent may have run.
  kBroken,
  // The answer was incomplete at the deadline. The connection is closed; the statements may have run.
  kTimedOut,
};

// One connection to an endpoint. It carries one exchange at a time: some messages, and an answer to each. It can't be
// used again after a failure. Used on one thread.
class EndpointConnection : public std::enable_shared_from_this<EndpointConnection> {
 public:
  // `answer` holds the ready message if the connection was opened, otherwise the endpoint's refusal if it sent one.
  using OpenCallback = std::function<void(bool opened, const EndpointAnswer& answer)>;
  using AnswerCallback = std::function<void(ExchangeStatus status, std::vector<EndpointAnswer> answers)>;

  EndpointConnection(boost::asio::io_context& loop, const StatementCodec& codec, failover::EndpointEntry endpoint);

  // Connects on behalf of `identity` and waits until the endpoint is ready. CheckDeadline enforces `deadline`.
  void Open(const std::string& identity, TimePoint deadline, OpenCallback callback);

  // Sends `messages`, which hold `count` messages, and collects their answers. No other exchange may be in progress.
  void Exchange(std::string messages, std::size_t count, TimePoint deadline, AnswerCallback callback);

  // Closes the connection if the deadline of its opening or exchange has passed.
  void CheckDeadline(TimePoint now);

  // Closes at once; an exchange in progress ends as kBroken.
  void Close();

  bool Closed() const;
  // True when nothing listened at the endpoint's address.
  bool Refused() const;
  bool Busy() const;
  const failover::EndpointEntry& Endpoint() const;
  // The organisation on whose behalf the connection was opened, or this VM.
  const std::string& Identity() const;
  // When the latest exchange was sent, or the connection was opened.
  TimePoint SentAt() const;
  // When bytes were last received.
  TimePoint LastReceivedAt() const;

  // The session values and prepared statements that the connection holds at the endpoint.
  statements::ConnectionSessionState session_state;
  // True when a transaction is open on the connection, as far as the proxy knows.
  bool in_transaction = false;
  // When it was last returned to the pool.
  TimePoint idle_since;

 private:
  void Read();
  void OnBytes(std::size_t size);
  bool HandleFrame(std::string_view frame);
  void Finish(ExchangeStatus status);
  void Fail(ExchangeStatus status);

  boost::asio::ip::tcp::socket socket;
  const StatementCodec& codec;
  failover::EndpointEntry endpoint;
  std::string identity;
  std::array<char, 16384> read_buffer{};
  FrameReader reader;
  std::string write_buffer;
  std::size_t expected_answers = 0;
  std::vector<EndpointAnswer> answers;
  EndpointAnswer current_answer;
  TimePoint deadline = kNever;
  TimePoint sent_at;
  TimePoint last_received_at;
  OpenCallback open_callback;
  AnswerCallback answer_callback;
  bool closed = false;
  bool refused = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_ENDPOINT_CONNECTION_H_
