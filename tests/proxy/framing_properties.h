#ifndef AMARANTHLANE_TESTS_PROXY_FRAMING_PROPERTIES_H_
#define AMARANTHLANE_TESTS_PROXY_FRAMING_PROPERTIES_H_

#include <string>
#include <string_view>
#include <vector>

#include "proxy/frame_reader.h"
#include "proxy/statement_codec.h"

// What holds for a FrameReader with any codec, for any bytes and any splits into Append calls. The codec's terminator
// is given as a value, so that the codec itself isn't asked where a message ends.
namespace amaranthlane::proxy {

struct Framing {
  const StatementCodec& codec;
  // The bytes at which the wire protocol ends a message.
  std::string terminator;
  // Byte sequences that random streams consist of, besides random bytes.
  std::vector<std::string> parts;
};

// What a FrameReader made of a stream.
struct FramedStream {
  std::vector<Frame> frames;
  // What TakeRest() returned after the last frame.
  std::string rest;
  bool too_large = false;
};

// Appends the bytes in pieces of the given sizes, which repeat, and takes the frames after each piece, or after the
// last one only.
enum class TakeFrames : bool { kAfterEachPiece, kAfterTheLastPiece };
FramedStream ReadFrames(const Framing& framing, NoticePolicy notices, std::string_view bytes,
                        const std::vector<std::size_t>& piece_sizes, TakeFrames take);

// A message of `size` bytes with its terminator.
std::string MessageOfSize(const Framing& framing, std::size_t size);

// Each of these runs a property with random streams and adds a test failure if it doesn't hold.

// The frames are those that the terminator and the notice policy give, however the stream is split.
void CheckFramesForAnySplits(const Framing& framing);
// The frames and the rest together are the stream, and each frame but a notice ends with its only terminator.
void CheckNoByteIsLostOrRepeated(const Framing& framing);
// A stream that stops being read at any place, and is continued by another reader from TakeRest(), gives the same
// frames.
void CheckAnotherReaderContinuesFromTheRest(const Framing& framing);

// Each of these tests the limit of a message's size with messages of about that size.

void CheckTheLimitOfOneMessage(const Framing& framing);
void CheckTheLimitIsNotThatOfAllMessages(const Framing& framing);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_TESTS_PROXY_FRAMING_PROPERTIES_H_
