#ifndef AMARANTHLANE_DAEMON_INSTANCE_PROBER_H_
#define AMARANTHLANE_DAEMON_INSTANCE_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>

#include "core/replicas/position_reply.h"
#include "core/types.h"
#include "daemon/control_traffic.h"
#include "net/http_connection.h"

namespace amaranthlane::daemon {

// How an instance is probed in its current role.
struct ProbeMode {
  // True: the instance holds each probe until its log grows. False: it replies at once and is probed again after
  // `delay`.
  bool long_poll = false;
  std::chrono::milliseconds delay{0};
  // The longest time that the instance may hold a probe.
  std::chrono::milliseconds max_hold{0};
  // How long a reply may take beyond the time that the probe is held.
  std::chrono::milliseconds reply_timeout{0};
};

// Queries one instance's log position repeatedly over a persistent connection.
class InstanceProber : public std::enable_shared_from_this<InstanceProber> {
 public:
  struct Listener {
    std::function<void(TimePoint sent_at)> sent;
    std::function<void(TimePoint sent_at, const replicas::PositionReply&)> answered;
    // The reply timed out or was malformed, or the connection broke or couldn't be opened.
    std::function<void(TimePoint sent_at)> failed;
  };

  InstanceProber(boost::asio::io_context& loop, const net::Address& address, ControlTraffic& traffic,
                 Listener listener);

  // Starts probing. If already started, changes the mode from the next probe on.
  void Run(const ProbeMode& mode);
  // Stops permanently and no longer calls the listener.
  void Stop();

 private:
  void Probe();
  void ScheduleProbe(std::chrono::milliseconds delay);
  void Finish(TimePoint sent_at, const net::CallResult& result);

  boost::asio::io_context& loop;
  net::Address address;
  ControlTraffic& traffic;
  Listener listener;
  boost::asio::steady_timer timer;
  std::shared_ptr<net::HttpConnection> connection;
  ProbeMode mode;
  std::optional<std::uint64_t> last_offset;
  bool started = false;
  bool stopped = false;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_INSTANCE_PROBER_H_
