#ifndef AMARANTHLANE_NET_HTTP_CONNECTION_H_
#define AMARANTHLANE_NET_HTTP_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "common/boot_clock.h"
#include "net/address.h"
#include "net/http_message.h"
#include "net/received_body.h"

namespace amaranthlane::net {

// How a call over a connection ended.
enum class CallStatus : std::uint8_t {
  kAnswered,
  // No part of the request was sent, for example because the connection could not be opened.
  kNotSent,
  // The connection failed, or the response was not valid HTTP, after part of the request may have been sent.
  kBroken,
  // No complete response arrived by the deadline. The connection is closed, so that a late response is not taken for
  // the response to another request.
  kTimedOut,
};

struct CallResult {
  CallStatus status = CallStatus::kNotSent;
  // Set only when status is kAnswered. Holds no framing headers.
  HttpResponse response;
  // Bytes of the request and of the response on the connection, headers included; 0 for a message that was not
  // transferred completely.
  std::size_t sent_bytes = 0;
  std::size_t received_bytes = 0;
  // The peer's host refused the TCP connection: the host is up, but nothing listens at the address.
  bool refused = false;
};

// A client connection that handles one request at a time. It connects on first use and never reconnects; its owner
// replaces a failed connection. All methods must be called on the event loop's thread.
// A call that has ended without an answer never reaches the peer later: no byte is written after the deadline, and the
// connection is reset, which discards what the network holds up. The kernel does the same if the process is killed, and
// at the deadline if it is suspended. What the peer had received before may still be executed.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(CallResult)>;

  HttpConnection(boost::asio::io_context& loop, const Address& address);

  // Sends a request and passes its result to `callback`. `deadline` covers connecting, sending and receiving together.
  // A call made while another is in progress, or on a connection that isn't usable, ends as kNotSent. So does a request
  // with an invalid part; it leaves the connection usable.
  // If `sink` is set, it receives the body of the response, of any size, in place of the response passed to `callback`.
  // While the body arrives the deadline moves on, to 1.5 s after each part.
  void Call(HttpRequest request, TimePoint deadline, Callback callback, BodySink sink = {});

  // Closes the connection at once. A call in progress ends as kBroken, or as kNotSent if nothing was sent.
  void Close();

  // True while a call is in progress.
  bool Busy() const;

  // True until the connection failed, was closed, or received bytes that no request awaits: they would be taken for the
  // response to the next request.
  bool Usable() const;

 private:
  // True if the connection is idle and has received bytes.
  bool HasUnrequestedBytes() const;
  void Connect();
  void Write();
  void Read();
  // Makes the kernel discard what the peer hasn't received when the connection closes, for whatever reason.
  void ResetOnClose();
  // Makes the kernel give up, without this process, on bytes that the peer hasn't received by the deadline.
  void LimitTransmission();
  void ArmTimer(TimePoint deadline);
  void OnTimer();
  void Finish(CallStatus status, HttpResponse response);

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::asio::ip::tcp::endpoint target;
  boost::beast::flat_buffer buffer;
  boost::beast::http::request<boost::beast::http::string_body> outgoing;
  std::optional<boost::beast::http::response_parser<ReceivedBody>> incoming;
  Callback callback;
  BodySink sink;
  TimePoint deadline = kNever;
  std::size_t sent_bytes = 0;
  std::size_t received_bytes = 0;
  bool timer_armed = false;
  bool connected = false;
  bool write_started = false;
  bool closed = false;
  bool refused = false;
};

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_HTTP_CONNECTION_H_
