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

// How an instance is probed in its present role.
struct ProbeMode {
  // True: the instance holds each probe until its log grows. False: it answers at once and is asked again after
  // `pause`.
  bool long_poll = false;
  std::chrono::milliseconds delay{0};
  // How long a held probe may be held.
  std::chrono::milliseconds max_hold{0};
  // How long an answer that is due may take.
  std::chrono::milliseconds reply_timeout{0};
};

// Asks one instance for its position again and again on a connection kept open.
class InstanceProber : public std::enable_shared_from_this<InstanceProber> {
 public:
  struct Listener {
    std::function<void(TimePoint sent_at)> sent;
    std::function<void(TimePoint sent_at, const replicas::PositionReply&)> answered;
    // The probe's connection is silent, broken or can't be opened.
    std::function<void(TimePoint sent_at)> failed;
  };

  InstanceProber(boost::asio::io_context& loop, const net::Address& address, ControlTraffic& traffic,
                 Listener listener);

  // Starts to probe, or changes the mode from the next probe on.
  void Run(const ProbeMode& mode);
  // Ends for good; no listener is called any more.
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
