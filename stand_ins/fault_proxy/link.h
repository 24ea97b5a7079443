#ifndef AMARANTHLANE_STAND_INS_FAULT_PROXY_LINK_H_
#define AMARANTHLANE_STAND_INS_FAULT_PROXY_LINK_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

// Boost.Asio 1.74 needs <utility> before it in C++20.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "stand_ins/fault_proxy/fault.h"

namespace amaranthlane::stand_ins {

// What the links of one route share.
struct RouteState {
  RouteFaults faults;
  ResponsesToDrop responses_to_drop;
  std::uint64_t accepted = 0;
  std::uint64_t bytes_to_target = 0;
  std::uint64_t bytes_to_client = 0;
};

// One forwarded connection: a socket to the client and one to the target.
class Link : public std::enable_shared_from_this<Link> {
 public:
  // `closed` is called once when the link has closed. `state` must outlive the link's sockets.
  Link(boost::asio::ip::tcp::socket client, RouteState& state, std::function<void()> on_closed);

  // Connects to the target and starts to forward.
  void Start(const boost::asio::ip::tcp::endpoint& target);
  // Silences the link for good: what either end sends is discarded.
  void StartDiscarding();
  // Lets the bytes go on that were held by a fault which has ended.
  void Resume();
  // Closes both sockets.
  void Close();
  // The IP number that the client's connection came from.
  const std::string& ClientIp() const;

 private:
  static constexpr std::size_t kBufferBytes = 65536;

  enum class Direction : std::uint8_t { kToTarget, kToClient };

  // The forwarding of bytes one way: one chunk at a time is read, delayed, held or judged, and written.
  struct Stream {
    Direction direction;
    boost::asio::ip::tcp::socket& from;
    boost::asio::ip::tcp::socket& to;
    boost::asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer;
    std::size_t size = 0;
    // A chunk, or the end of the stream, waits for a freeze to end.
    bool held = false;
    bool ended = false;
    bool discarding = false;
  };

  const Fault& CurrentFault() const;
  void Read(Stream& stream);
  void OnRead(Stream& stream, boost::system::error_code error, std::size_t count);
  void Delay(Stream& stream);
  void Forward(Stream& stream);
  void Write(Stream& stream, bool close_after);
  // Whether the bytes of this direction are to be discarded now.
  bool ShouldDiscard(Stream& stream) const;
  // Marks the link when the answer to this request is to be swallowed.
  void CheckForResponseDrop(const Stream& stream);

  boost::asio::ip::tcp::socket client;
  boost::asio::ip::tcp::socket target;
  std::string client_ip;
  RouteState& state;
  std::function<void()> on_closed;
  Stream to_target;
  Stream to_client;
  // The answer to the request in hand is to be swallowed.
  bool drop_response = false;
  // Counted from the last byte of the client.
  std::uint64_t response_bytes = 0;
  bool closed = false;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_FAULT_PROXY_LINK_H_
