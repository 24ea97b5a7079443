#ifndef AMARANTHLANE_PROXY_SESSION_H_
#define AMARANTHLANE_PROXY_SESSION_H_

#include <chrono>
#include <string>

#include "common/boot_clock.h"

namespace amaranthlane::proxy {

// How long a caller that was told of the end of its session may take to close it.
inline constexpr std::chrono::milliseconds kGracefulCloseTimeout{400};

// A caller's session on this VM, whether its statements go to endpoints from here or from another VM.
class Session {
 public:
  virtual ~Session() = default;

  // Ends what has taken too long.
  virtual void Tick(TimePoint now) = 0;
  // If nothing is under way, tells the caller `why` the session ends; it is closed once the caller has answered, or
  // after a short time. Returns true when it is closed.
  virtual bool CloseIfIdle(const std::string& reason) = 0;
  // Ends an open transaction as soon as no statement is under way.
  virtual void AbortTransaction(const std::string& reason) = 0;
  // Closes at once and drops what is under way.
  virtual void Close() = 0;
  virtual bool Closed() const = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SESSION_H_
