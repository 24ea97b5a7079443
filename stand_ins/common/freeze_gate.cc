#include "stand_ins/common/freeze_gate.h"

namespace amaranthlane::stand_ins {

void FreezeGate::Set(bool on) {
  this->frozen = on;
  // Work that is handed in by held work goes to the end of the queue, so the order of arrival is kept.
  while (!this->frozen && !this->held.empty()) {
    const std::function<void()> work = std::move(this->held.front());
    this->held.front() = [] {};
    work();
    this->held.pop_front();
  }
}

}  // namespace amaranthlane::stand_ins
