#include "stand_ins/common/freezable_executor.h"

namespace amaranthlane::stand_ins {

void FreezableExecutor::SetFrozen(bool on) {
  this->frozen = on;
  // Work that is handed in by held work goes to the end of the queue, so the order of arrival is kept.
  while (!this->frozen && !this->queued_work.empty()) {
    const std::function<void()> work = std::move(this->queued_work.front());
    this->queued_work.front() = [] {};
    work();
    this->queued_work.pop_front();
  }
}

}  // namespace amaranthlane::stand_ins
