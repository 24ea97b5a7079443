#ifndef AMARANTHLANE_STAND_INS_COMMON_LONG_POLLS_H_
#define AMARANTHLANE_STAND_INS_COMMON_LONG_POLLS_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "stand_ins/common/http_connection.h"

namespace amaranthlane::stand_ins {

// Requests that wait for a change, at most one for each connection.
class LongPolls {
 public:
  // Answers the request if it has something to answer or if `expired` is set; returns whether it did.
  using TryRespond = std::function<bool(bool expired)>;

  explicit LongPolls(boost::asio::io_context& io);

  // Asks `try_respond` now, then at each Notify, and a last time after `wait`.
  void Add(const HttpConnectionPtr& connection, std::chrono::milliseconds wait, TryRespond try_respond);
  // Has the waiting requests asked soon. Several calls in a row cost one pass.
  void Notify();
  // Forgets the request of a connection that has closed.
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
