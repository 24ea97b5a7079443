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

// State shared by the links of one route.
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
  // `on_closed` is called once when the link has closed. `state` must outlive the link's sockets.
  Link(boost::asio::ip::tcp::socket client, RouteState& state, std::function<void()> on_closed);

  // Connects to the target, then forwards in both directions.
  void Start(const boost::asio::ip::tcp::endpoint& target);
  // Discards all bytes from either end until the link closes.
  void StartDiscarding();
  // Forwards bytes that were held by a freeze, unless the route is still frozen.
  void Resume();
  // Closes both sockets.
  void Close();
  // The IP address of the client.
  const std::string& ClientIp() const;

 private:
  static constexpr std::size_t kBufferBytes = 65536;

  enum class Direction : std::uint8_t { kToTarget, kToClient };

  // Forwards bytes in one direction. Each chunk is read, delayed if a delay is set, held while frozen, and then
  // discarded or written before the next chunk is read.
  struct Stream {
    Direction direction;
    boost::asio::ip::tcp::socket& from;
    boost::asio::ip::tcp::socket& to;
    boost::asio::steady_timer timer;
    std::array<char, kBufferBytes> buffer;
    std::size_t size = 0;
    // A chunk, or the end of the stream, is held until the freeze ends.
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
  // Whether the current chunk is to be discarded. Once true, it stays true for the stream.
  bool ShouldDiscard(Stream& stream) const;
  // Marks the link if the response to this request is to be dropped.
  void CheckForResponseDrop(const Stream& stream);

  boost::asio::ip::tcp::socket client;
  boost::asio::ip::tcp::socket target;
  std::string client_ip;
  RouteState& state;
  std::function<void()> on_closed;
  Stream to_target;
  Stream to_client;
  // The response to the current request is to be dropped.
  bool drop_response = false;
  // Bytes received from the target since the last chunk from the client.
  std::uint64_t response_bytes = 0;
  bool closed = false;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_FAULT_PROXY_LINK_H_
