#ifndef AMARANTHLANE_STAND_INS_COMMON_LONG_POLLS_H_
#define AMARANTHLANE_STAND_INS_COMMON_LONG_POLLS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "stand_ins/common/http_connection.h"

namespace amaranthlane::stand_ins {

// Long-polling requests that wait for a change, at most one per connection.
class LongPolls {
 public:
  // Responds if there is a change to report or if `expired` is set; returns whether it responded.
  using TryRespond = std::function<bool(bool expired)>;

  explicit LongPolls(boost::asio::io_context& io);

  // Calls `try_respond` now, after each Notify, and a last time after `wait`, until it has responded.
  void Add(const HttpConnectionPtr& connection, std::chrono::milliseconds wait, TryRespond try_respond);
  // Schedules a check of all waiting requests. Calls made before the check runs are combined into one.
  void Notify();
  // Removes the waiting request of a closed connection.
  void Remove(std::uint64_t connection_id);
  // Closes the connections of all waiting requests.
  void DisconnectAll();
  std::size_t WaitingCount() const;

 private:
  struct Poll {
    HttpConnectionPtr connection;
    TryRespond try_respond;
    boost::asio::steady_timer timer;
  };

  void Expire(std::uint64_t connection_id);
  void CheckAll();

  boost::asio::io_context& io;
  std::map<std::uint64_t, Poll> polls;
  bool check_scheduled = false;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_LONG_POLLS_H_
