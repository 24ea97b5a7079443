#ifndef AMARANTHLANE_PROXY_SESSION_H_
#define AMARANTHLANE_PROXY_SESSION_H_

#include <chrono>
#include <string>

#include "common/boot_clock.h"

namespace amaranthlane::proxy {

// How long a caller may take to close its session after the notice that the VM ends it.
inline constexpr std::chrono::milliseconds kGracefulCloseTimeout{400};

// A caller's session on this VM, which either serves it or relays it to another VM.
class Session {
 public:
  virtual ~Session() = default;

  // Enforces the session's timeouts.
  virtual void Tick(TimePoint now) = 0;
  // If no statement is running and no transaction is open, notifies the caller that the session ends, and why. The
  // session closes once the caller has reacted, or after kGracefulCloseTimeout. Returns true when it is closed.
  virtual bool CloseIfIdle(const std::string& reason) = 0;
  // Aborts an open transaction. A running statement is not interrupted; call again until none is running.
  virtual void AbortTransaction(const std::string& reason) = 0;
  // Closes at once; a running statement gets no answer.
  virtual void Close() = 0;
  virtual bool Closed() const = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SESSION_H_
