#include "stand_ins/common/freezable_executor.h"

namespace amaranthlane::stand_ins {

void FreezableExecutor::SetFrozen(bool on) {
  this->frozen = on;
  // The front element stays in the queue while it runs, so work that it submits is queued behind the work that was
  // submitted earlier.
  while (!this->frozen && !this->queued_work.empty()) {
    const std::function<void()> work = std::move(this->queued_work.front());
    this->queued_work.front() = [] {};
    work();
    this->queued_work.pop_front();
  }
}

}  // namespace amaranthlane::stand_ins
