#ifndef AMARANTHLANE_STAND_INS_COMMON_FREEZABLE_EXECUTOR_H_
#define AMARANTHLANE_STAND_INS_COMMON_FREEZABLE_EXECUTOR_H_

#include <deque>
#include <functional>
#include <utility>

namespace amaranthlane::stand_ins {

// Simulates a frozen process: runs work at once, or queues it while frozen and runs it in order when unfrozen.
class FreezableExecutor {
 public:
  // Runs `work` now, or queues it while frozen or while earlier work is still queued.
  template <typename Work>
  void Run(Work&& work) {
    if (this->frozen || !this->queued_work.empty()) {
      this->queued_work.push_back(std::forward<Work>(work));
      return;
    }
    work();
  }

  // Freezes, or unfreezes and runs the queued work.
  void SetFrozen(bool on);

 private:
  bool frozen = false;
  std::deque<std::function<void()>> queued_work;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_FREEZABLE_EXECUTOR_H_
