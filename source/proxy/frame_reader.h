#ifndef AMARANTHLANE_PROXY_FRAME_READER_H_
#define AMARANTHLANE_PROXY_FRAME_READER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "common/boot_clock.h"
#include "proxy/statement_codec.h"

namespace amaranthlane::proxy {

// The largest message in either direction, with its terminator, in bytes.
inline constexpr std::size_t kMaxMessageBytes = 1U << 20U;

// Whether relay notices may stand between the messages of a stream. Only another VM sends them.
enum class NoticePolicy : std::uint8_t { kReject, kAccept };

// One message of a stream, or one notice between two of them.
struct Frame {
  enum class Kind : std::uint8_t { kMessage, kNotice };
  Kind kind = Kind::kMessage;
  // With the terminator.
  std::string bytes;
};

// Divides a stream of bytes into messages. Everything that reads a stream of messages does so with this class, so that
// all readers agree on where each message ends.
class FrameReader {
 public:
  FrameReader(const StatementCodec& codec, NoticePolicy notices);

  void Append(std::string_view bytes);
  // Removes the first complete frame and returns it. Returns nullopt while it is incomplete, and once it is too large.
  std::optional<Frame> Next();
  // True when the last Next() found the first frame longer than kMaxMessageBytes, whether it is complete or not.
  bool TooLarge() const;
  // True when the bytes that haven't been returned exceed kMaxMessageBytes, so that nothing more should be read for
  // now.
  bool Full() const;
  // Until when the end of a message is awaited whose bytes so far can't become valid; kNever if there is none. Its
  // sender may end messages in another way, and be waiting for the answer.
  TimePoint MalformedDeadline() const;
  // True when every byte has been returned.
  bool Empty() const;
  // Removes and returns the bytes that haven't been returned.
  std::string TakeRest();

 private:
  const StatementCodec& codec;
  NoticePolicy notices;
  std::string buffer;
  // Bytes at the beginning of `buffer` that have been returned already.
  std::size_t consumed = 0;
  // Bytes of the first frame that needn't be searched for its end again.
  std::size_t searched = 0;
  bool too_large = false;
  TimePoint malformed_deadline = kNever;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_FRAME_READER_H_
