#ifndef AMARANTHLANE_STAND_INS_COMMON_FREEZE_GATE_H_
#define AMARANTHLANE_STAND_INS_COMMON_FREEZE_GATE_H_

#include <deque>
#include <functional>
#include <utility>

namespace amaranthlane::stand_ins {

// Holds the work of a process that is to appear frozen. While frozen, all work is kept; on thaw it runs in order.
class FreezeGate {
 public:
  // Runs `work` now, or on thaw.
  template <typename Work>
  void Run(Work&& work) {
    if (this->frozen || !this->held.empty()) {
      this->held.push_back(std::forward<Work>(work));
      return;
    }
    work();
  }

  // Freezes, or thaws and runs what was held.
  void Set(bool on);

 private:
  bool frozen = false;
  std::deque<std::function<void()>> held;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_FREEZE_GATE_H_
