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

#include "proxy/session.h"
#include "proxy/session_context.h"
#include "proxy/session_farewell.h"

namespace amaranthlane::proxy {

// A caller's session that another VM, a carrier of its database group, serves. Bytes are passed on unchanged; messages
// are counted, so that the session is closed only between them. When the carrier ends while a message has no answer,
// the caller is told that the outcome is unknown; before the session is open, the next carrier is tried. Used on one
// thread.
class RelayedSession : public Session, public std::enable_shared_from_this<RelayedSession> {
 public:
  // `beginning` are the caller's bytes so far. `carriers` are tried in turn; when none accepts, the session is served
  // here.
  RelayedSession(boost::asio::ip::tcp::socket socket, SessionContext& context, std::string beginning,
                 std::vector<std::string> gateways, Duration statement_limit);

  void Start();

  void Tick(TimePoint now) override;
  bool CloseIfIdle(const std::string& why) override;
  void AbortTransaction(const std::string& why) override;
  void Close() override;
  bool Closed() const override;

 private:
  struct Direction {
    std::array<char, 8192> chunk{};
    // Bytes of a message that isn't whole yet; only to count messages.
    std::string partial;
  };

  void TryCarrier();
  void ServeHere();
  void PassFromCaller();
  void PassFromCarrier();
  // True when the carrier answers the opening with bytes that say it doesn't know the database.
  bool RefusedAsUnknown(std::size_t size) const;
  // Count the messages that became whole.
  void CountFromCaller(std::string_view bytes);
  void CountFromCarrier(std::size_t size);
  void OnCarrierEnded(const std::string& why);
  void AnswerUnknown(const std::string& why);
  // Takes what the caller sends after the farewell.
  void OnFarewellBytes(std::string_view bytes);
  void SendFarewell(const std::string& bytes);

  boost::asio::ip::tcp::socket caller;
  boost::asio::ip::tcp::socket carrier;
  boost::asio::steady_timer timer;
  SessionContext& context;
  std::string beginning;
  std::vector<std::string> gateways;
  Duration statement_limit;
  // What the caller is told when the carrier has ended, or when the session is closed between messages.
  std::string last_answer;
  // What follows it.
  std::string unsent;
  std::optional<SessionFarewell> farewell;
  TimePoint farewell_limit;
  Direction from_caller;
  Direction from_carrier;
  // Messages of the caller that have no answer yet.
  std::size_t unanswered = 0;
  TimePoint oldest_unanswered;
  statements::TransactionStatus state = statements::TransactionStatus::kIdle;
  // Which carrier it is; what comes of an earlier one is dropped.
  std::uint64_t attempt = 0;
  bool connected = false;
  // The carrier has answered once, or has got more than the opening.
  bool opened = false;
  // The caller has a part of an answer, such as the refusal of its session.
  bool mid_answer = false;
  // Bytes are being written to the caller.
  bool writing_to_caller = false;
  // The carrier has ended; the caller's last answer is on its way.
  bool ended = false;
  bool abort_wanted = false;
  bool closed = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_RELAYED_SESSION_H_
