#ifndef AMARANTHLANE_STAND_INS_COMMON_FREEZABLE_EXECUTOR_H_
#define AMARANTHLANE_STAND_INS_COMMON_FREEZABLE_EXECUTOR_H_

#include <deque>
#include <functional>
#include <utility>

namespace amaranthlane::stand_ins {

// Holds the work of a process that is to appear frozen. While frozen, all work is kept; on thaw it runs in order.
class FreezableExecutor {
 public:
  // Runs `work` now, or on thaw.
  template <typename Work>
  void Run(Work&& work) {
    if (this->frozen || !this->queued_work.empty()) {
      this->queued_work.push_back(std::forward<Work>(work));
      return;
    }
    work();
  }

  // Freezes, or thaws and runs what was held.
  void SetFrozen(bool on);

 private:
  bool frozen = false;
  std::deque<std::function<void()>> queued_work;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_FREEZABLE_EXECUTOR_H_
