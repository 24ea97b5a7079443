#ifndef AMARANTHLANE_PROXY_RELAYED_SESSION_H_
#define AMARANTHLANE_PROXY_RELAYED_SESSION_H_

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/frame_reader.h"
#include "proxy/graceful_close.h"
#include "proxy/session.h"
#include "proxy/session_context.h"

namespace amaranthlane::proxy {

// A caller's session that is relayed to another VM, a gateway of its database group. Only whole messages are forwarded,
// unchanged and counted, so that the session is closed only between them; between them, this VM and the gateway also
// notify each other of newer configurations. A malformed message is replaced by one that every build refuses, so that
// no gateway reads it in another way than this VM. If the gateway fails before the session is open, the next one is
// tried. If it fails while a message is unanswered, the caller is told that the outcome is unknown. Used on one thread.
class RelayedSession : public Session, public std::enable_shared_from_this<RelayedSession> {
 public:
  // `initial_bytes` are the caller's bytes so far. The gateways are tried in order; if none accepts the session, this
  // VM serves it.
  RelayedSession(boost::asio::ip::tcp::socket socket, SessionContext& context, std::string initial_bytes,
                 std::vector<gateways::FleetVm> gateways, const Route& route);

  void Start();

  void Tick(TimePoint now) override;
  bool CloseWhenIdle(const std::string& reason) override;
  void AbortTransaction(const std::string& reason) override;
  void Close() override;
  bool Closed() const override;

 private:
  struct Direction {
    std::array<char, 8192> read_buffer{};
    // Made anew with each connection to a gateway; none before the first one.
    std::optional<FrameReader> reader;
  };

  // A complete message of the gateway, as it was received and as it was parsed.
  struct GatewayMessage {
    std::string bytes;
    EndpointMessage parsed;
  };

  void TryNextGateway();
  void ServeLocally();
  void ForwardFromCaller();
  void ForwardFromGateway();
  // The notice to send to the gateway before the caller's next message; empty if there is nothing newer to tell.
  std::string NextNotice();
  // Counts the caller's complete messages and returns them as they are to be forwarded.
  std::string TakeCallerMessages();
  // Handles the gateway's notices and returns its complete messages.
  std::vector<GatewayMessage> TakeGatewayMessages(std::string_view bytes);
  void OnNotice(std::string_view notice);
  // True when the gateway's first message refuses the opening because it doesn't know the database.
  bool RefusedAsUnknownDatabase(const std::vector<GatewayMessage>& messages) const;
  // False if a message is malformed, or the caller's reader may find others in it.
  static bool AreForwardable(const std::vector<GatewayMessage>& messages);
  void CountGatewayMessage(const EndpointMessage& message);
  void UpdateStatementTimeout();
  void OnGatewayFailed(const std::string& reason);
  void AnswerOutcomeUnknown(const std::string& reason);
  // Answers a message whose end isn't awaited with a failure, and closes the session.
  void RejectIncompleteMessage(statements::FailureCode code, const std::string& reason);
  // Sends the caller a failure that ends the session.
  void SendLastAnswer(statements::FailureCode code, const std::string& reason);
  // After the last answer: ends this side of the connection, and drops what the caller still sends until it closes.
  void Linger();
  // True when the caller has received whole answers only.
  bool BetweenAnswers() const;
  // True when the session is to be closed, and the caller's next message begins a statement outside a transaction as
  // far as the gateway's answers tell. False if the gateway closes the session itself: it answers the message then.
  bool HoldsCallerMessages() const;
  void ForwardToGateway();
  // Between two answers: closes the session, gracefully or with its transaction, if that was asked for, or if the
  // caller's next message is too large. Returns true when nothing more is to be read from the gateway.
  bool EndBetweenAnswers();
  // Forwards the held messages if they aren't to be held any more, for example because a transaction has begun.
  void ReleaseHeldMessages();
  // Handles bytes that arrive after the close notice was sent.
  void OnBytesWhileClosing(std::string_view bytes);
  void SendWhileClosing(const std::string& bytes);

  boost::asio::ip::tcp::socket caller;
  boost::asio::ip::tcp::socket gateway;
  boost::asio::steady_timer timer;
  SessionContext& context;
  std::string initial_bytes;
  std::vector<gateways::FleetVm> gateways;
  // The database's name, and the timeout of its statements by the configuration in force.
  std::string database;
  Duration statement_timeout;
  // The newest version of the configuration that this VM or the gateway has mentioned in a notice; none: the gateway
  // accepts no notices.
  std::optional<std::uint64_t> noticed_version;
  // What was written to the gateway first.
  std::string opening_bytes;
  // What is being written to the gateway and, of the gateway's messages, to the caller.
  std::string gateway_write_buffer;
  std::string forwarded_messages;
  // Bytes from this VM itself that are being written to the caller: a failure after the gateway failed, or those of the
  // graceful close.
  std::string caller_write_buffer;
  // Bytes to write next.
  std::string pending_output;
  // Why the session is to be closed when it is idle; empty: it isn't.
  std::string closing_reason;
  // The caller's next messages wait for the answers to earlier ones, because the session may then be closed. Nothing is
  // read from the caller meanwhile.
  bool holding_messages = false;
  std::optional<GracefulClose> graceful_close;
  TimePoint graceful_close_deadline;
  Direction from_caller;
  Direction from_gateway;
  // The caller's messages that have no answer yet.
  std::size_t unanswered = 0;
  TimePoint unanswered_since;
  statements::TransactionStatus transaction_status = statements::TransactionStatus::kIdle;
  // Increased with each connection to a gateway, so that callbacks of earlier ones are recognised and ignored.
  std::uint64_t attempt = 0;
  bool connected = false;
  // The gateway has accepted the session, or has been sent more than the opening.
  bool opened = false;
  // The caller has received a part of an answer, such as the failure that refuses its session.
  bool mid_answer = false;
  // A write to the caller is in progress.
  bool writing_to_caller = false;
  // The gateway is disconnected, and this VM sends the last answer.
  bool sending_last_answer = false;
  bool reading_from_caller = false;
  // When a session whose last answer has been sent is closed; kNever before that.
  TimePoint linger_deadline = kNever;
  bool abort_requested = false;
  bool closed = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_RELAYED_SESSION_H_
