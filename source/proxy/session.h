#ifndef AMARANTHLANE_PROXY_SESSION_H_
#define AMARANTHLANE_PROXY_SESSION_H_

#include <string>

#include "common/boot_clock.h"

namespace amaranthlane::proxy {

// A caller's session on this VM, whether its statements go to endpoints from here or from another VM.
class Session {
 public:
  virtual ~Session() = default;

  // Ends what has taken too long.
  virtual void Tick(TimePoint now) = 0;
  // Closes the session if nothing is under way in it. Returns true when it is closed.
  virtual bool CloseIfIdle() = 0;
  // Ends an open transaction as soon as no statement is under way.
  virtual void AbortTransaction(const std::string& why) = 0;
  // Closes at once and drops what is under way.
  virtual void Close() = 0;
  virtual bool Closed() const = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_SESSION_H_
