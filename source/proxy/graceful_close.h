#ifndef AMARANTHLANE_PROXY_GRACEFUL_CLOSE_H_
#define AMARANTHLANE_PROXY_GRACEFUL_CLOSE_H_

#include <string>
#include <string_view>

#include "proxy/frame_reader.h"
#include "proxy/session_context.h"

namespace amaranthlane::proxy {

// Ends a session between two statements on the VM's initiative. The caller gets an unsolicited failure message, the
// close notice, that tells it to open another session. If the caller sends a statement before it has read the notice,
// it takes the notice for the answer, so the statement isn't run and only the rest of the answer is sent. Used on one
// thread.
class GracefulClose {
 public:
  // `reason` goes to the caller and to the log. `reader` holds what the caller has sent and the session hasn't handled.
  GracefulClose(SessionContext& context, std::string reason, FrameReader reader);

  // The failure message to send at once.
  std::string CloseNotice() const;
  // Handles bytes that the caller, or the VM that relays its session, has sent since; returns the bytes to send in
  // answer.
  std::string OnBytes(std::string_view bytes);
  // True once the caller has sent a message, which the notice answers or which closes the session. The connection can
  // be closed after the bytes that OnBytes returned have been sent.
  bool Done() const;

 private:
  std::string OnMessage(const CallerMessage& message);

  SessionContext& context;
  std::string reason;
  FrameReader reader;
  bool done = false;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_GRACEFUL_CLOSE_H_
