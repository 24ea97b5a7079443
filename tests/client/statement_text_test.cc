#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "client/caller.h"
#include "net/free_port.h"
#include "net/http_server.h"

namespace amaranthlane::client {
namespace {

// Executes statements at a VM that rejects each request.
class StatementTextTest : public ::testing::Test {
 protected:
  StatementTextTest()
      : address({"127.0.0.1", amaranthlane::testing::FreePort()}),
        server(this->loop, this->address, {},
               [this](const net::HttpRequest& request, const net::HttpServer::ResponseCallback& respond) {
                 this->bodies.push_back(request.body);
                 respond(net::HttpResponse{400, {}, "application/problem+json", R"({"type":"invalid-request"})"});
               }) {
    this->server.Start();
  }

  StatementResult Execute(const Statement& statement) {
    CallerSettings settings;
    settings.vms = {this->address};
    settings.bearer_key = this->bearer_key;
    Caller caller(this->loop, settings);
    Session session;
    std::optional<StatementResult> result;
    caller.Execute(session, statement, [&result](const StatementResult& ended) { result = ended; });
    const TimePoint end = BootClock::now() + std::chrono::seconds(5);
    while (!result && BootClock::now() < end) {
      this->loop.restart();
      this->loop.run_for(std::chrono::milliseconds(2));
    }
    return result.value_or(StatementResult{});
  }

  static Statement MakeStatement(const std::string& text) {
    Statement statement;
    statement.group = "g";
    statement.kind = "lodgement";
    statement.statement = text;
    statement.deadline = BootClock::now() + std::chrono::seconds(2);
    return statement;
  }

  boost::asio::io_context loop;
  net::Address address;
  std::string bearer_key = "key";
  std::vector<std::string> bodies;
  net::HttpServer server;
};

// Guards against a text that changes the members beside it: a read that becomes a write without a key.
TEST_F(StatementTextTest, ATextThatIsNoObjectIsNotSent) {
  for (const char* text :
       {R"({},"mode":"write")", R"({}}{"a":{)", "", "1", "[]", R"("a")", "{\"a\":\"\xff\"}", R"({"a":1)"}) {
    const StatementResult result = this->Execute(MakeStatement(text));
    EXPECT_EQ(result.outcome, Outcome::kNotRun) << text;
    EXPECT_EQ(result.problem, "invalid-statement") << text;
  }
  EXPECT_TRUE(this->bodies.empty());
}

TEST_F(StatementTextTest, AKindThatIsNoTextIsNotSent) {
  Statement statement = MakeStatement("{}");
  statement.kind = "\xff";
  try {
    EXPECT_EQ(this->Execute(statement).problem, "invalid-statement");
  } catch (const std::exception& failure) {
    ADD_FAILURE() << failure.what();
  }
  EXPECT_TRUE(this->bodies.empty());
}

TEST_F(StatementTextTest, AnObjectIsSentAsItIs) {
  EXPECT_EQ(this->Execute(MakeStatement(" {\"a\" : 1}")).problem, "invalid-request");
  ASSERT_EQ(this->bodies.size(), 1U);
  EXPECT_NE(this->bodies.front().find(R"("statement": {"a" : 1}})"), std::string::npos) << this->bodies.front();
}

// The VM says that it doesn't know such a caller.
TEST_F(StatementTextTest, ACallerWithoutAKeyIsAnswered) {
  this->bearer_key = "";
  EXPECT_EQ(this->Execute(MakeStatement("{}")).problem, "invalid-request");
}

}  // namespace
}  // namespace amaranthlane::client
