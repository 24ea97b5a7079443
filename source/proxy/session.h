#ifndef AMARANTHLANE_PROXY_SESSION_H_
#define AMARANTHLANE_PROXY_SESSION_H_

#include <chrono>
#include <string>

#include "common/boot_clock.h"

namespace amaranthlane::proxy {

// How long a caller may take to close its session after the notice that the VM ends it.
inline constexpr std::chrono::milliseconds kGracefulCloseTimeout{400};

// How long a session whose last answer has been sent takes what its caller still sends. Closing it with unread bytes
// would reset the connection, and the caller could lose the answer.
inline constexpr std::chrono::milliseconds kLingerTimeout{400};

// A caller's session on this VM, which either serves it or relays it to another VM.
class Session {
 public:
  virtual ~Session() = default;

  // Enforces the session's timeouts.
  virtual void Tick(TimePoint now) = 0;
  // Ends the session between two statements, outside a transaction: at once, or as soon as the running statement or the
  // transaction has ended. No further statement is begun then, even if the caller has sent it already. The caller is
  // notified of the end and its reason. The session closes once the caller has reacted, or after kGracefulCloseTimeout.
  // Returns true when it is closed.
  virtual bool CloseWhenIdle(const std::string& reason) = 0;
  // Aborts an open transaction: at once, or as soon as the running statement has ended.
  virtual void AbortTransaction(const std::string& reason) = 0;
  // Closes at once; a running statement gets no answer.
  virtual void Close() = 0;
  virtual bool Closed() const = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SESSION_H_
