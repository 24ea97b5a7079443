#include "proxy/frame_reader.h"

#include <gtest/gtest.h>

#include "proxy/framing_properties.h"
#include "proxy/relay_notice.h"
#include "proxy/test_codec.h"

namespace amaranthlane::proxy {
namespace {

const TestCodec kCodec;
const Framing kFraming{
    kCodec, "\n", {"\n", "\n\n", "\r\n", "\x02", "\x02 9 127.0.0.1:9\n", "read r1", "write w1\n", " ", "x"}};

std::string Notice() { return EncodeRelayNotice({17, "127.0.0.1:80"}); }

TEST(FrameReader, FramesDoNotDependOnTheSplits) { CheckFramesForAnySplits(kFraming); }

TEST(FrameReader, NoByteIsLostOrRepeated) { CheckNoByteIsLostOrRepeated(kFraming); }

TEST(FrameReader, AnotherReaderContinuesFromTheRest) { CheckAnotherReaderContinuesFromTheRest(kFraming); }

// Guards against a limit that depends on how a message is divided into reads.
TEST(FrameReader, TheLimitAppliesToEachMessage) { CheckTheLimitOfOneMessage(kFraming); }

// Guards against a message that is refused because of those that were sent after it.
TEST(FrameReader, TheLimitDoesNotApplyToAllMessagesTogether) { CheckTheLimitIsNotThatOfAllMessages(kFraming); }

TEST(FrameReader, NoticesAreFramesOfTheirOwnBetweenMessages) {
  const std::string stream = Notice() + "read r1\n" + Notice() + Notice() + "read r2\n";
  for (const std::size_t piece_size : {stream.size(), std::size_t{1}, std::size_t{5}}) {
    const FramedStream read =
        ReadFrames(kFraming, NoticePolicy::kAccept, stream, {piece_size}, TakeFrames::kAfterEachPiece);
    ASSERT_EQ(read.frames.size(), 5U);
    for (const std::size_t notice : {0U, 2U, 3U}) {
      EXPECT_EQ(read.frames[notice].kind, Frame::Kind::kNotice);
      EXPECT_EQ(read.frames[notice].bytes, Notice());
    }
    EXPECT_EQ(read.frames[1].kind, Frame::Kind::kMessage);
    EXPECT_EQ(read.frames[1].bytes, "read r1\n");
    EXPECT_EQ(read.frames[4].bytes, "read r2\n");
  }
}

// Guards against bytes of a caller that pass for a notice.
TEST(FrameReader, AStreamOfACallerHoldsNoNotice) {
  const FramedStream read =
      ReadFrames(kFraming, NoticePolicy::kReject, Notice() + "read r1\n", {3}, TakeFrames::kAfterEachPiece);
  ASSERT_EQ(read.frames.size(), 2U);
  EXPECT_EQ(read.frames[0].kind, Frame::Kind::kMessage);
  EXPECT_EQ(read.frames[0].bytes, Notice());
}

TEST(FrameReader, AMarkInsideAMessageBeginsNoNotice) {
  const std::string message = "write w1 a" + Notice();
  const FramedStream read = ReadFrames(kFraming, NoticePolicy::kAccept, message, {1}, TakeFrames::kAfterEachPiece);
  ASSERT_EQ(read.frames.size(), 1U);
  EXPECT_EQ(read.frames[0].kind, Frame::Kind::kMessage);
  EXPECT_EQ(read.frames[0].bytes, message);
}

// Guards against a notice without an end that is collected for ever.
TEST(FrameReader, TheLimitAppliesToNotices) {
  const std::string endless = "\x02" + std::string(kMaxMessageBytes, '9');
  const FramedStream read = ReadFrames(kFraming, NoticePolicy::kAccept, endless, {4096}, TakeFrames::kAfterEachPiece);
  EXPECT_TRUE(read.too_large);
  EXPECT_TRUE(read.frames.empty());
}

TEST(FrameReader, ReadsOnAfterItsRestWasTaken) {
  FrameReader reader(kCodec, NoticePolicy::kReject);
  reader.Append(std::string(kMaxMessageBytes + 1, 'x'));
  EXPECT_FALSE(reader.Next().has_value());
  EXPECT_TRUE(reader.TooLarge());
  reader.TakeRest();
  EXPECT_FALSE(reader.TooLarge());
  reader.Append("read r1\n");
  const std::optional<Frame> frame = reader.Next();
  ASSERT_TRUE(frame.has_value());
  EXPECT_EQ(frame->bytes, "read r1\n");
}

}  // namespace
}  // namespace amaranthlane::proxy
