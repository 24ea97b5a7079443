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

namespace amaranthlane::net {

// How a call over a connection ended.
enum class CallStatus : std::uint8_t {
  kAnswered,
  // The connection could not be opened, so the request was provably never sent.
  kNotSent,
  // The connection broke, or the answer wasn't HTTP, after some of the request may have been sent.
  kBroken,
  // No answer came by the deadline. The connection is closed, so a late answer can't meet another request.
  kTimedOut,
};

struct CallResult {
  CallStatus status = CallStatus::kNotSent;
  // Set only when status is kAnswered.
  HttpResponse response;
  // Bytes on the connection for this call, headers included; zero for a message that didn't go or come whole.
  std::size_t sent_bytes = 0;
  std::size_t received_bytes = 0;
  // The peer's host is there and says that nothing listens at the address.
  bool refused = false;
};

// One client connection that carries one request at a time. It connects on first use and never reconnects: a connection
// that failed is thrown away. All calls are made on the event loop's thread.
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
 public:
  using Callback = std::function<void(CallResult)>;

  HttpConnection(boost::asio::io_context& loop, const Address& address);

  // Sends a request and passes on its answer. `deadline` bounds connecting, sending and receiving together. A second
  // request before the first has ended is refused as kNotSent.
  void Call(HttpRequest request, TimePoint deadline, Callback callback);

  // Closes the connection at once. A call in progress ends as kBroken, or as kNotSent if nothing was sent.
  void Close();

  // True while a call is in progress.
  bool Busy() const;

  // True until the connection failed or was closed.
  bool Usable() const;

 private:
  void Connect();
  void Write();
  void Read();
  void ArmTimer(TimePoint deadline);
  void OnTimer();
  void Finish(CallStatus status, HttpResponse response);

  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::asio::ip::tcp::endpoint target;
  boost::beast::flat_buffer buffer;
  boost::beast::http::request<boost::beast::http::string_body> outgoing;
  std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> incoming;
  Callback callback;
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
