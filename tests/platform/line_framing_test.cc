#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <algorithm>

#include "common/message_field.h"
#include "platform/line_codec.h"
#include "platform/stream_readers.h"
#include "proxy/framing_properties.h"

// The properties of framing with the platform's codec, whose messages end at CR LF and nowhere else.
namespace amaranthlane::platform {
namespace {

using proxy::Framing;
using proxy::NoticePolicy;

const LineCodec kCodec;
const Framing kFraming{kCodec,
                       "\r\n",
                       {"\r", "\n", "\r\n", "\r\r\n", "\n\r", "QUERY ", "QUERY a WRITE 1b x", "\nQUERY b READ 1c\r\n",
                        "ROW x", "\x02", "\x02 9 127.0.0.1:9\n", std::string(1, '\0'), " ", "x"}};

TEST(LineFraming, FramesDoNotDependOnTheSplits) { CheckFramesForAnySplits(kFraming); }

TEST(LineFraming, NoByteIsLostOrRepeated) { CheckNoByteIsLostOrRepeated(kFraming); }

TEST(LineFraming, AnotherReaderContinuesFromTheRest) { CheckAnotherReaderContinuesFromTheRest(kFraming); }

TEST(LineFraming, TheLimitAppliesToEachMessage) { CheckTheLimitOfOneMessage(kFraming); }

TEST(LineFraming, TheLimitDoesNotApplyToAllMessagesTogether) { CheckTheLimitIsNotThatOfAllMessages(kFraming); }

// Guards against a limit that counts a part of the terminator only.
TEST(LineFraming, ACarriageReturnAtTheLimitEndsNoMessage) {
  const std::string message = std::string(proxy::kMaxMessageBytes - 1, 'x') + "\r\n";
  const proxy::FramedStream read = ReadFrames(kFraming, NoticePolicy::kReject, message, {proxy::kMaxMessageBytes},
                                              proxy::TakeFrames::kAfterEachPiece);
  EXPECT_TRUE(read.too_large);
  EXPECT_TRUE(read.frames.empty());
}

// Guards against a message whose end is awaited for ever, or that is refused though its end could make it valid.
TEST(LineFraming, OnlyAMessageThatCanNotBecomeValidHasADeadline) {
  const bool passed = rc::check("only a message that can't become valid has a deadline", [] {
    const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(kFraming.parts));
    const auto notices = *rc::gen::element(NoticePolicy::kReject, NoticePolicy::kAccept);
    proxy::FrameReader reader(kCodec, notices);
    for (const std::string& part : parts) {
      reader.Append(part);
      while (reader.Next()) {
        RC_ASSERT(reader.MalformedDeadline() == kNever);
      }
    }
    const bool has_deadline = reader.MalformedDeadline() != kNever;
    const std::string rest = reader.TakeRest();
    RC_ASSERT(reader.MalformedDeadline() == kNever);
    const bool is_notice = notices == NoticePolicy::kAccept && rest.starts_with('\x02');
    const bool may_be_valid = !FindControlCharacter(rest.ends_with('\r') ? rest.substr(0, rest.size() - 1) : rest);
    RC_CLASSIFY(has_deadline);
    RC_ASSERT(has_deadline == (!is_notice && !may_be_valid));
  });
  EXPECT_TRUE(passed);
}

// A caller's statements as this side accepts them are among those that the page's reader finds in the same bytes.
TEST(LineFraming, NoStatementIsAcceptedThatTheCallerDidNotSend) {
  const bool passed = rc::check("accepted statements were sent", [] {
    const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(kFraming.parts));
    std::string bytes;
    for (const std::string& part : parts) {
      bytes += part;
    }
    const std::vector<SentStatement> sent = ReadStatements(bytes, StrictReader());
    auto next = sent.begin();
    for (const proxy::Frame& frame :
         ReadFrames(kFraming, NoticePolicy::kReject, bytes, {1, 7, 3}, proxy::TakeFrames::kAfterEachPiece).frames) {
      const proxy::CallerMessage message = kCodec.ParseCallerMessage(frame.bytes);
      if (const auto* statement = std::get_if<statements::Statement>(&message)) {
        next = std::find(next, sent.end(), SentStatement{statement->id, statement->text});
        RC_ASSERT(next != sent.end());
        ++next;
      }
    }
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::platform
