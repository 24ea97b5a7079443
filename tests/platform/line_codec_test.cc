#include "platform/line_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include "common/error.h"

namespace amaranthlane::platform {
namespace {

using statements::FailureCode;
using statements::Statement;
using statements::StatementKind;

const LineCodec kCodec;

Statement ParseQuery(const std::string& text) {
  return std::get<Statement>(kCodec.ParseCallerMessage("QUERY 5c0e " + text + "\r\n"));
}

TEST(LineCodec, AFrameEndsWithItsLine) {
  EXPECT_EQ(kCodec.FrameLength("QUIT\r\nREST"), 6U);
  EXPECT_EQ(kCodec.FrameLength("QUIT\r"), 0U);
}

// Guards against a line feed in a field that divides one message in two.
TEST(LineCodec, OnlyCrLfEndsAMessage) {
  for (const std::string& message : {std::string("QUERY a WRITE i x\nQUERY b WRITE i y\r\n"),
                                     std::string("QUERY a WRITE i x\rQUERY b WRITE i y\r\n"),
                                     std::string("QUERY a WRITE i x\n\rQUERY b WRITE i y\r\n")}) {
    EXPECT_EQ(kCodec.FrameLength(message), message.size()) << message;
    EXPECT_EQ(kCodec.FrameLength(message.substr(0, message.size() - 1)), 0U) << message;
  }
  EXPECT_EQ(kCodec.FrameLength("ROW a\nCOMPLETE 1\r\nREADY"), 18U);
}

// Guards against a field that a reader of the endpoint or of the caller takes for more than one message.
TEST(LineCodec, NoMessageHoldsAControlCharacter) {
  for (int byte = 0; byte < 0x20; ++byte) {
    const std::string c(1, static_cast<char>(byte));
    if (c == "\t") {
      continue;
    }
    for (const std::string& message :
         {"QUERY a WRITE i x" + c + "y", "QUERY a" + c + "b READ i", "QUERY a READ" + c + "i",
          "QUERY a SET n" + c + " v", "QUERY a SET n v" + c, "QUERY a PREPARE s WRITE q" + c,
          "QUERY a EXECUTE s i " + c, "QUERY a DEALLOC s" + c, "CONNECT db" + c + " who", "CONNECT db who" + c,
          "QUIT" + c}) {
      EXPECT_TRUE(std::holds_alternative<proxy::MalformedMessage>(kCodec.ParseCallerMessage(message + "\r\n")))
          << byte << ": " << message;
    }
    EXPECT_EQ(kCodec.EncodeFailure(FailureCode::kFailed, "x" + c + "y"), "ERROR FAIL x?y\r\n");
  }
  EXPECT_EQ(ParseQuery("WRITE i a\tb \xd1\x8f \x85 \xe2\x80\xa8").text, "WRITE i a\tb \xd1\x8f \x85 \xe2\x80\xa8");
}

// Guards against a word that readers disagree on: one that skips blanks or divides at tabs finds other fields.
TEST(LineCodec, RejectsEmptyWordsAndTabsInWords) {
  for (const char* text :
       {"SET  value", "SET a\tb value", "PREPARE  READ q", "PREPARE s\tREAD READ q", "EXECUTE  item",
        "EXECUTE s item\tdata", "READ  item", "READ item\tdata", "WRITE  item data", "WRITE item\tother data"}) {
    EXPECT_TRUE(std::holds_alternative<proxy::MalformedMessage>(
        kCodec.ParseCallerMessage("QUERY a " + std::string(text) + "\r\n")))
        << text;
  }
  EXPECT_TRUE(
      std::holds_alternative<proxy::MalformedMessage>(kCodec.ParseCallerMessage("QUERY a\tWRITE READ item\r\n")));
}

TEST(LineCodec, ReadsEachStatement) {
  EXPECT_EQ(ParseQuery("BEGIN").kind, StatementKind::kBegin);
  EXPECT_EQ(ParseQuery("BEGIN READ").kind, StatementKind::kBeginReadOnly);
  EXPECT_EQ(ParseQuery("COMMIT").kind, StatementKind::kCommit);
  EXPECT_EQ(ParseQuery("ROLLBACK").kind, StatementKind::kRollback);
  EXPECT_EQ(ParseQuery("READ 1a4").kind, StatementKind::kRead);
  EXPECT_EQ(ParseQuery("WRITE 1a4 some data").kind, StatementKind::kWrite);
  EXPECT_EQ(ParseQuery("DEALLOC s1").name, "s1");
  const Statement set = ParseQuery("SET zone a b");
  EXPECT_EQ(set.name, "zone");
  EXPECT_EQ(set.argument, "a b");
  const Statement prepare = ParseQuery("PREPARE s1 WRITE q2c");
  EXPECT_TRUE(prepare.writes);
  EXPECT_EQ(prepare.argument, "q2c");
}

TEST(LineCodec, RejectsMalformedMessages) {
  for (const char* line :
       {"\r\n", "QUERY\r\n", "QUERY x\r\n", "QUERY - READ a\r\n", "CONNECT\r\n", "QUERY x BEGIN now\r\n",
        "QUERY x PREPARE s READ\r\n", "QUERY x DROP all\r\n", "READ a\n", "QUERY x WAITPOS 1.2 READ a\r\n"}) {
    EXPECT_TRUE(std::holds_alternative<proxy::MalformedMessage>(kCodec.ParseCallerMessage(line))) << line;
  }
}

TEST(LineCodec, ForwardsIdAndTextUnchanged) {
  EXPECT_EQ(kCodec.EncodeStatement(ParseQuery("WRITE 1a4 x  y "), std::nullopt, ""), "QUERY 5c0e WRITE 1a4 x  y \r\n");
  EXPECT_EQ(kCodec.EncodeStatement(ParseQuery("READ 1a4"), LogPosition{3, 1207}, ""),
            "QUERY 5c0e WAITPOS 3.1207 READ 1a4\r\n");
  EXPECT_EQ(kCodec.EncodeStatement(ParseQuery("EXECUTE s1 1a4 x y"), std::nullopt, "w_q"),
            "QUERY 5c0e EXECUTE w_q 1a4 x y\r\n");
}

TEST(LineCodec, ReadsEndpointMessages) {
  const proxy::EndpointMessage failure = kCodec.ParseEndpointMessage("ERROR READONLY i-7f3a\r\n");
  EXPECT_EQ(failure.kind, proxy::EndpointMessage::Kind::kFailure);
  EXPECT_EQ(failure.code, FailureCode::kReadOnly);
  const proxy::EndpointMessage ready = kCodec.ParseEndpointMessage("READY T 3.1209\r\n");
  EXPECT_EQ(ready.state, statements::TransactionStatus::kInTransaction);
  EXPECT_EQ(ready.position, (LogPosition{3, 1209}));
  EXPECT_EQ(kCodec.ParseEndpointMessage("READY I -\r\n").position, std::nullopt);
  EXPECT_EQ(kCodec.ParseEndpointMessage("READY X -\r\n").kind, proxy::EndpointMessage::Kind::kMalformed);
}

// An unknown failure code gives no guarantee that the statement did not run.
TEST(LineCodec, TreatsAnUnknownFailureCodeAsPossiblyExecuted) {
  EXPECT_FALSE(statements::DidNotRun(kCodec.ParseEndpointMessage("ERROR NEWCODE x\r\n").code));
}

TEST(LineCodec, ReadsAStatus) {
  const failover::EndpointStatus status = kCodec.ParseStatus("replica 3 3.1209 0 12 2 17");
  EXPECT_FALSE(status.is_primary);
  EXPECT_EQ(status.term, 3U);
  EXPECT_EQ(status.position, (LogPosition{3, 1209}));
  EXPECT_EQ(status.connections, 17U);
  EXPECT_THROW(kCodec.ParseStatus("leader 3 3.1 0 0 0 0"), ParseError);
  EXPECT_THROW(kCodec.ParseStatus("primary 3"), ParseError);
}

// The text of a caller's statement is forwarded unchanged.
TEST(LineCodec, AnyReadOrWriteKeepsItsText) {
  const bool passed = rc::check("any read or write keeps its text", [] {
    const auto item = *rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~'));
    RC_PRE(!item.empty());
    const std::string text = (*rc::gen::arbitrary<bool>() ? "READ " : "WRITE ") + item;
    RC_ASSERT(kCodec.EncodeStatement(ParseQuery(text), std::nullopt, "") == "QUERY 5c0e " + text + "\r\n");
  });
  EXPECT_TRUE(passed);
}

}  // namespace
}  // namespace amaranthlane::platform
