#ifndef AMARANTHLANE_DAEMON_SYSTEM_RUNNER_H_
#define AMARANTHLANE_DAEMON_SYSTEM_RUNNER_H_

#include <functional>
#include <span>
#include <utility>
#include <variant>
#include <vector>

#include "common/boot_clock.h"

namespace amaranthlane::daemon {

// Passes events to a system of the core library and executes its actions, in order. Events that arise while actions
// are executed are queued until all of these actions have been executed.
template <typename System, typename Event, typename Action>
class SystemRunner {
 public:
  SystemRunner(System& system, std::function<void(const Action&)> execute)
      : system(system), execute(std::move(execute)) {}

  // Queues an event and runs the system.
  void Notify(Event event) {
    this->pending.push_back(std::move(event));
    this->Run();
  }

  // Runs the system if its next deadline is at or before `now`.
  void RunIfDue(TimePoint now) {
    if (this->system.NextDeadline() <= now) {
      this->RunNow();
    }
  }

  // Runs the system once without an event.
  void RunNow() {
    this->run_requested = true;
    this->Run();
  }

 private:
  void Run() {
    if (this->running) {
      return;
    }
    this->running = true;
    while (!this->pending.empty() || this->run_requested) {
      this->run_requested = false;
      const std::vector<Event> events = std::exchange(this->pending, {});
      const std::vector<Action> actions = this->system.Tick(BootClock::now(), std::span<const Event>(events));
      for (const Action& action : actions) {
        this->execute(action);
      }
    }
    this->running = false;
  }

  System& system;
  std::function<void(const Action&)> execute;
  std::vector<Event> pending;
  bool running = false;
  bool run_requested = false;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_SYSTEM_RUNNER_H_
