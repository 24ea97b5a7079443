#include "proxy/framing_properties.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <optional>

namespace amaranthlane::proxy {

namespace {

constexpr char kNoticeMark = '\x02';
constexpr std::string_view kNoticeEnd = "\n";
constexpr std::size_t kMaxPieceBytes = 12;
// About what one read from a socket returns.
constexpr std::size_t kReadBytes = 4093;

std::string Join(const std::vector<std::string>& parts) {
  std::string joined;
  for (const std::string& part : parts) {
    joined += part;
  }
  return joined;
}

rc::Gen<std::string> RandomStream(const Framing& framing) {
  const rc::Gen<std::string> known_part = rc::gen::elementOf(framing.parts);
  const rc::Gen<std::string> random_byte =
      rc::gen::map(rc::gen::arbitrary<char>(), [](char byte) { return std::string(1, byte); });
  return rc::gen::map(rc::gen::container<std::vector<std::string>>(
                          rc::gen::weightedOneOf<std::string>({{4, known_part}, {1, random_byte}})),
                      Join);
}

rc::Gen<std::vector<std::size_t>> RandomPieceSizes() {
  return rc::gen::nonEmpty(
      rc::gen::container<std::vector<std::size_t>>(rc::gen::inRange<std::size_t>(1, kMaxPieceBytes)));
}

rc::Gen<NoticePolicy> RandomPolicy() { return rc::gen::element(NoticePolicy::kReject, NoticePolicy::kAccept); }

rc::Gen<TakeFrames> RandomTake() {
  return rc::gen::element(TakeFrames::kAfterEachPiece, TakeFrames::kAfterTheLastPiece);
}

// Finds the frames of a whole stream without a FrameReader or a codec.
FramedStream DivideStream(const Framing& framing, NoticePolicy notices, std::string_view bytes) {
  FramedStream divided;
  while (!bytes.empty()) {
    const bool is_notice = notices == NoticePolicy::kAccept && bytes.front() == kNoticeMark;
    const std::string_view message_end = framing.terminator;
    const std::string_view terminator = is_notice ? kNoticeEnd : message_end;
    const std::size_t end = bytes.find(terminator);
    if (end == std::string_view::npos) {
      break;
    }
    const std::size_t length = end + terminator.size();
    divided.frames.push_back(
        {is_notice ? Frame::Kind::kNotice : Frame::Kind::kMessage, std::string(bytes.substr(0, length))});
    bytes.remove_prefix(length);
  }
  divided.rest = bytes;
  return divided;
}

bool SameFrames(const std::vector<Frame>& left, const std::vector<Frame>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](const Frame& one, const Frame& other) {
    return one.kind == other.kind && one.bytes == other.bytes;
  });
}

void TakeAll(FrameReader& reader, std::vector<Frame>& frames) {
  while (std::optional<Frame> frame = reader.Next()) {
    frames.push_back(std::move(*frame));
  }
}

}  // namespace

FramedStream ReadFrames(const Framing& framing, NoticePolicy notices, std::string_view bytes,
                        const std::vector<std::size_t>& piece_sizes, TakeFrames take) {
  FrameReader reader(framing.codec, notices);
  FramedStream read;
  for (std::size_t piece = 0; !bytes.empty(); ++piece) {
    const std::size_t size = std::min(piece_sizes[piece % piece_sizes.size()], bytes.size());
    reader.Append(bytes.substr(0, size));
    bytes.remove_prefix(size);
    if (take == TakeFrames::kAfterEachPiece) {
      TakeAll(reader, read.frames);
    }
  }
  TakeAll(reader, read.frames);
  read.too_large = reader.TooLarge();
  const bool empty = reader.Empty();
  const bool full = reader.Full();
  read.rest = reader.TakeRest();
  EXPECT_EQ(empty, read.rest.empty());
  EXPECT_EQ(full, read.rest.size() > kMaxMessageBytes);
  EXPECT_TRUE(reader.Empty());
  return read;
}

std::string MessageOfSize(const Framing& framing, std::size_t size) {
  return std::string(size - framing.terminator.size(), 'x') + framing.terminator;
}

void CheckFramesForAnySplits(const Framing& framing) {
  const bool passed = rc::check("the frames don't depend on the splits", [&framing] {
    const std::string bytes = *RandomStream(framing);
    const NoticePolicy notices = *RandomPolicy();
    const FramedStream expected = DivideStream(framing, notices, bytes);
    const FramedStream whole = ReadFrames(framing, notices, bytes, {bytes.size() + 1}, TakeFrames::kAfterEachPiece);
    const FramedStream split = ReadFrames(framing, notices, bytes, *RandomPieceSizes(), *RandomTake());
    RC_ASSERT(SameFrames(whole.frames, expected.frames));
    RC_ASSERT(SameFrames(split.frames, expected.frames));
    RC_ASSERT(whole.rest == expected.rest);
    RC_ASSERT(split.rest == expected.rest);
    RC_ASSERT(!whole.too_large);
    RC_ASSERT(!split.too_large);
  });
  EXPECT_TRUE(passed);
}

void CheckNoByteIsLostOrRepeated(const Framing& framing) {
  const bool passed = rc::check("no byte is lost or repeated", [&framing] {
    const std::string bytes = *RandomStream(framing);
    const NoticePolicy notices = *RandomPolicy();
    const FramedStream read = ReadFrames(framing, notices, bytes, *RandomPieceSizes(), *RandomTake());
    std::string together;
    for (const Frame& frame : read.frames) {
      together += frame.bytes;
      const bool begins_as_notice = frame.bytes.front() == kNoticeMark;
      RC_ASSERT((frame.kind == Frame::Kind::kNotice) == (begins_as_notice && notices == NoticePolicy::kAccept));
      if (frame.kind == Frame::Kind::kMessage) {
        RC_ASSERT(frame.bytes.find(framing.terminator) == frame.bytes.size() - framing.terminator.size());
      }
    }
    RC_ASSERT(together + read.rest == bytes);
  });
  EXPECT_TRUE(passed);
}

void CheckAnotherReaderContinuesFromTheRest(const Framing& framing) {
  const bool passed = rc::check("another reader continues from the rest", [&framing] {
    const std::string bytes = *RandomStream(framing);
    const NoticePolicy notices = *RandomPolicy();
    const std::size_t end = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
    const std::size_t taken = *rc::gen::inRange<std::size_t>(0, 4);
    std::vector<Frame> frames;
    FrameReader first(framing.codec, notices);
    first.Append(bytes.substr(0, end));
    for (std::size_t count = 0; count < taken; ++count) {
      if (std::optional<Frame> frame = first.Next()) {
        frames.push_back(std::move(*frame));
      }
    }
    FrameReader second(framing.codec, notices);
    second.Append(first.TakeRest());
    second.Append(bytes.substr(end));
    TakeAll(second, frames);
    const FramedStream expected = DivideStream(framing, notices, bytes);
    RC_ASSERT(SameFrames(frames, expected.frames));
    RC_ASSERT(second.TakeRest() == expected.rest);
  });
  EXPECT_TRUE(passed);
}

void CheckTheLimitOfOneMessage(const Framing& framing) {
  const std::string largest = MessageOfSize(framing, kMaxMessageBytes);
  const std::string larger = MessageOfSize(framing, kMaxMessageBytes + 1);
  const std::string small = MessageOfSize(framing, framing.terminator.size() + 1);
  for (const std::size_t piece_size : {larger.size() + small.size(), kMaxMessageBytes, kReadBytes}) {
    for (const TakeFrames take : {TakeFrames::kAfterEachPiece, TakeFrames::kAfterTheLastPiece}) {
      const FramedStream passed = ReadFrames(framing, NoticePolicy::kReject, largest + small, {piece_size}, take);
      EXPECT_FALSE(passed.too_large) << "pieces of " << piece_size;
      ASSERT_EQ(passed.frames.size(), 2U) << "pieces of " << piece_size;
      EXPECT_TRUE(passed.frames.front().bytes == largest) << "pieces of " << piece_size;
      EXPECT_TRUE(passed.rest.empty()) << "pieces of " << piece_size;

      // Without its terminator, it may still become a message of the largest size.
      const std::string unfinished = largest.substr(0, largest.size() - 1);
      EXPECT_FALSE(ReadFrames(framing, NoticePolicy::kReject, unfinished, {piece_size}, take).too_large);

      // One byte more is refused after the message before it, complete or not, and with others behind it.
      for (const std::string& refused :
           {larger, larger.substr(0, larger.size() - framing.terminator.size()) + "xx", larger + small}) {
        const FramedStream read = ReadFrames(framing, NoticePolicy::kReject, small + refused, {piece_size}, take);
        EXPECT_TRUE(read.too_large) << "pieces of " << piece_size;
        EXPECT_EQ(read.frames.size(), 1U) << "pieces of " << piece_size;
        EXPECT_TRUE(read.rest == refused) << "pieces of " << piece_size;
      }
    }
  }
}

void CheckTheLimitIsNotThatOfAllMessages(const Framing& framing) {
  constexpr std::size_t kMessages = 5;
  const std::string message = MessageOfSize(framing, kMaxMessageBytes / 4);
  FrameReader reader(framing.codec, NoticePolicy::kReject);
  for (std::size_t number = 0; number < 4; ++number) {
    reader.Append(message);
  }
  EXPECT_FALSE(reader.Full());
  reader.Append(message.substr(0, 1));
  EXPECT_TRUE(reader.Full());
  reader.Append(message.substr(1));
  EXPECT_TRUE(reader.Full());
  for (std::size_t number = 0; number < kMessages; ++number) {
    const std::optional<Frame> frame = reader.Next();
    ASSERT_TRUE(frame.has_value()) << number;
    EXPECT_TRUE(frame->bytes == message) << number;
    EXPECT_FALSE(reader.TooLarge()) << number;
    // The first message frees more than the one byte above the limit.
    EXPECT_FALSE(reader.Full()) << number;
  }
  EXPECT_TRUE(reader.Empty());
}

}  // namespace amaranthlane::proxy
