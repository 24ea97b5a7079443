#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_SLOTS_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_SLOTS_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <utility>

// Boost.Asio 1.74 needs <utility> before it in C++20.
#include <boost/asio/io_context.hpp>

#include "stand_ins/common/freezable_executor.h"

namespace amaranthlane::stand_ins {

// Runs a limited number of statements concurrently. Each occupies a slot for the service time and takes effect at its
// end. Further statements wait in FIFO order.
class Slots {
 public:
  using Job = std::function<void()>;

  Slots(boost::asio::io_context& io, FreezableExecutor& executor, std::size_t count,
        std::chrono::microseconds service_time);

  // Runs `job` once a slot is free and the service time has passed.
  void Submit(Job job);
  // Applies to statements that start later.
  void SetServiceTime(std::chrono::microseconds service_time);
  std::size_t RunningCount() const;
  std::size_t WaitingCount() const;

 private:
  void Start(Job job);
  void Finish(const Job& job);

  boost::asio::io_context& io;
  FreezableExecutor& executor;
  std::size_t count;
  std::chrono::microseconds service_time;
  std::size_t running = 0;
  std::deque<Job> waiting;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_SLOTS_H_
