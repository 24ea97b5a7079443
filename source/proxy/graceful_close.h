#ifndef AMARANTHLANE_PROXY_GRACEFUL_CLOSE_H_
#define AMARANTHLANE_PROXY_GRACEFUL_CLOSE_H_

#include <string>
#include <string_view>

#include "proxy/session_context.h"

namespace amaranthlane::proxy {

// The end of a session that its VM closes between two statements. The caller is told to open another one by a failure
// that it hasn't asked for. A statement that was on its way meanwhile takes that failure for its answer, so it isn't
// run and only the rest of the answer follows. Used on one thread.
class GracefulClose {
 public:
  // `why` is what the caller and the log are told.
  GracefulClose(SessionContext& context, std::string reason);

  // The failure, to be sent at once.
  std::string CloseNotice() const;
  // Takes what the caller has sent since; returns what to answer.
  std::string OnBytes(std::string_view bytes);
  // True once the caller has taken the failure for an answer, or closes the session itself. After what OnBytes has
  // returned, the connection can be closed.
  bool Done() const;

 private:
  std::string OnMessage(const CallerMessage& message);

  SessionContext& context;
  std::string reason;
  std::string received;
  bool done = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_GRACEFUL_CLOSE_H_
