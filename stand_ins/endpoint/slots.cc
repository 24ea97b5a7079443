#include "stand_ins/endpoint/slots.h"

#include <boost/asio/steady_timer.hpp>
#include <memory>

namespace amaranthlane::stand_ins {

Slots::Slots(boost::asio::io_context& io, FreezableExecutor& executor, std::size_t count,
             std::chrono::microseconds service_time)
    : io(io), executor(executor), count(count), service_time(service_time) {}

void Slots::Submit(Job job) {
  if (this->running < this->count) {
    this->Start(std::move(job));
    return;
  }
  this->waiting.push_back(std::move(job));
}

void Slots::SetServiceTime(std::chrono::microseconds service_time) { this->service_time = service_time; }

std::size_t Slots::RunningCount() const { return this->running; }

std::size_t Slots::WaitingCount() const { return this->waiting.size(); }

void Slots::Start(Job job) {
  ++this->running;
  if (this->service_time == std::chrono::microseconds::zero()) {
    this->Finish(job);
    return;
  }
  auto timer = std::make_shared<boost::asio::steady_timer>(this->io, this->service_time);
  timer->async_wait([this, timer, job = std::move(job)](boost::system::error_code) {
    this->executor.Run([this, job] { this->Finish(job); });
  });
}

void Slots::Finish(const Job& job) {
  job();
  --this->running;
  if (!this->waiting.empty() && this->running < this->count) {
    Job next = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->Start(std::move(next));
  }
}

}  // namespace amaranthlane::stand_ins
