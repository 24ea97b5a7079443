#include "proxy/relayed_session.h"

#include <gtest/gtest.h>

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <functional>

#include "proxy/word_codec.h"

namespace amaranthlane::proxy {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// A node that serves nothing itself.
class StubContext : public SessionContext {
 public:
  const StatementCodec& Codec() const override { return this->codec; }
  const Configuration* CurrentConfiguration() const override { return nullptr; }
  Dispatcher* FindDispatcher(const GroupName&) override { return nullptr; }
  bool MayAcknowledge(const GroupName&, const EndpointName&, TimePoint) const override { return false; }
  std::uint64_t RecordVersion() const override { return 0; }
  void PumpSoon() override {}
  std::vector<std::string> CarriersOf(const GroupName&) override { return {}; }
  void Relay(tcp::socket, std::string, std::vector<std::string>, Duration) override {}
  void ServeHere(tcp::socket socket, std::string beginning) override {
    this->served_here = std::move(beginning);
    socket.close();
  }
  void OnStatementEnd(const StatementEnd& end) override { this->ends.push_back(end); }

  WordCodec codec;
  std::string served_here;
  std::vector<StatementEnd> ends;
};

// A carrier that does what the test says with each message.
class Carrier {
 public:
  explicit Carrier(boost::asio::io_context& loop)
      : acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)), socket(loop) {
    this->acceptor.async_accept(this->socket, [this](boost::system::error_code error) {
      if (!error) {
        this->Read();
      }
    });
  }

  std::string Address() const { return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port()); }

  void Close() {
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

  // Called with what came; returns the answer, or nothing to close the connection.
  std::function<std::optional<std::string>(const std::string&)> answer;
  std::string received;

 private:
  void Read() {
    this->socket.async_read_some(boost::asio::buffer(this->chunk),
                                 [this](boost::system::error_code error, std::size_t size) {
                                   if (error) {
                                     return;
                                   }
                                   const std::string bytes(this->chunk.data(), size);
                                   this->received += bytes;
                                   const std::optional<std::string> reply = this->answer(bytes);
                                   if (!reply) {
                                     this->Close();
                                     return;
                                   }
                                   boost::system::error_code ignored;
                                   boost::asio::write(this->socket, boost::asio::buffer(*reply), ignored);
                                   this->Read();
                                 });
  }

  tcp::acceptor acceptor;
  tcp::socket socket;
  std::array<char, 4096> chunk{};
};

class RelayedSessionTest : public testing::Test {
 protected:
  RelayedSessionTest() : caller(this->loop), first(this->loop), second(this->loop) {}

  void Start(std::vector<std::string> gateways, const std::string& beginning = "open g\n") {
    tcp::acceptor door(this->loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
    this->caller.connect(door.local_endpoint());
    this->session = std::make_shared<RelayedSession>(door.accept(), this->context, beginning, std::move(gateways),
                                                     milliseconds(300));
    this->session->Start();
    this->Read();
  }

  void Read() {
    this->caller.async_read_some(boost::asio::buffer(this->chunk),
                                 [this](boost::system::error_code error, std::size_t size) {
                                   if (error) {
                                     this->caller_closed = true;
                                     return;
                                   }
                                   this->received.append(this->chunk.data(), size);
                                   this->Read();
                                 });
  }

  void Send(const std::string& text) { boost::asio::write(this->caller, boost::asio::buffer(text)); }

  bool RunUntil(const std::function<bool()>& done) {
    const TimePoint end = BootClock::now() + std::chrono::seconds(5);
    bool reached = done();
    while (!reached && BootClock::now() < end) {
      this->loop.restart();
      this->loop.run_for(milliseconds(5));
      this->session->Tick(BootClock::now());
      reached = done();
    }
    return reached;
  }

  void RunFor(milliseconds time) {
    const TimePoint end = BootClock::now() + time;
    this->RunUntil([end] { return BootClock::now() >= end; });
  }

  static std::optional<std::string> AnswerAll(const std::string&) { return "ready 0 0 0\n"; }

  boost::asio::io_context loop;
  StubContext context;
  tcp::socket caller;
  Carrier first;
  Carrier second;
  std::shared_ptr<RelayedSession> session;
  std::array<char, 4096> chunk{};
  std::string received;
  bool caller_closed = false;
};

TEST_F(RelayedSessionTest, PassesBytesBothWays) {
  this->first.answer = AnswerAll;
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  this->Send("read r1\n");
  EXPECT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\nready 0 0 0\n"; }));
  EXPECT_EQ(this->first.received, "open g\nread r1\n");
}

TEST_F(RelayedSessionTest, ACarrierThatEndsBeforeTheSessionIsOpenIsReplaced) {
  this->first.answer = [](const std::string&) { return std::nullopt; };
  this->second.answer = AnswerAll;
  this->Start({this->first.Address(), this->second.Address()});
  EXPECT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  EXPECT_EQ(this->second.received, "open g\n");
}

TEST_F(RelayedSessionTest, WithoutACarrierTheSessionIsServedHere) {
  this->first.answer = [](const std::string&) { return std::nullopt; };
  this->Start({this->first.Address()});
  EXPECT_TRUE(this->RunUntil([this] { return this->context.served_here == "open g\n"; }));
}

TEST_F(RelayedSessionTest, AStatementWhoseCarrierEndsIsOfUnknownOutcome) {
  this->first.answer = [](const std::string& bytes) {
    return bytes.rfind("open", 0) == 0 ? AnswerAll(bytes) : std::nullopt;
  };
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  this->Send("write w1\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->caller_closed; }));
  EXPECT_EQ(this->received.rfind("ready 0 0 0\nfailure 8 ", 0), 0U) << this->received;
  EXPECT_EQ(this->context.ends.size(), 1U);
}

TEST_F(RelayedSessionTest, ACarrierThatGivesNoAnswerInTimeLeavesAnUnknownOutcome) {
  this->first.answer = [](const std::string& bytes) {
    return bytes.rfind("open", 0) == 0 ? AnswerAll(bytes) : std::optional<std::string>("");
  };
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  this->Send("write w1\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->caller_closed; }));
  EXPECT_EQ(this->received.rfind("ready 0 0 0\nfailure 8 ", 0), 0U) << this->received;
}

TEST_F(RelayedSessionTest, StatementsBehindTheOpeningAreNotSentTwice) {
  this->first.answer = [](const std::string&) { return std::nullopt; };
  this->second.answer = AnswerAll;
  this->Start({this->first.Address(), this->second.Address()}, "open g\nwrite w1\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->caller_closed; }));
  EXPECT_EQ(this->received.rfind("failure 8 ", 0), 0U) << this->received;
  EXPECT_EQ(this->second.received, "");
}

// The VM that passes the session on knows the database, so this carrier's configuration is older.
TEST_F(RelayedSessionTest, ACarrierThatDoesNotKnowTheDatabaseIsPassedOver) {
  this->first.answer = [this](const std::string&) {
    boost::asio::post(this->loop, [this] { this->first.Close(); });
    return std::optional<std::string>("failure 10 g\n");
  };
  this->second.answer = AnswerAll;
  this->Start({this->first.Address(), this->second.Address()});
  EXPECT_TRUE(this->RunUntil([this] { return !this->received.empty(); }));
  EXPECT_EQ(this->received, "ready 0 0 0\n");
  EXPECT_EQ(this->second.received, "open g\n");
}

TEST_F(RelayedSessionTest, ADatabaseThatNoCarrierKnowsIsServedHere) {
  for (Carrier* carrier : {&this->first, &this->second}) {
    carrier->answer = [](const std::string&) { return std::optional<std::string>("failure 10 g\n"); };
  }
  this->Start({this->first.Address(), this->second.Address()});
  EXPECT_TRUE(this->RunUntil([this] { return this->context.served_here == "open g\n"; }));
  EXPECT_EQ(this->received, "");
}

// No configuration yet, for example.
TEST_F(RelayedSessionTest, ARefusedOpeningIsPassedOnOnce) {
  this->first.answer = [this](const std::string&) {
    boost::asio::post(this->loop, [this] { this->first.Close(); });
    return std::optional<std::string>("failure 0 later\n");
  };
  this->second.answer = this->first.answer;
  this->Start({this->first.Address(), this->second.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->caller_closed; }));
  EXPECT_EQ(this->received, "failure 0 later\n");
  EXPECT_EQ(this->second.received, "");
}

TEST_F(RelayedSessionTest, AnAnswerThatBreaksOffIsNotCompletedHere) {
  this->first.answer = [this](const std::string& bytes) {
    if (bytes.rfind("open", 0) == 0) {
      return AnswerAll(bytes);
    }
    boost::asio::post(this->loop, [this] { this->first.Close(); });
    return std::optional<std::string>("row e1 r1\n");
  };
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  this->Send("read r1\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->caller_closed; }));
  EXPECT_EQ(this->received, "ready 0 0 0\nrow e1 r1\n");
}

TEST_F(RelayedSessionTest, StatementsBehindTheOpeningStayInOrder) {
  this->first.answer = [](const std::string&) { return std::optional<std::string>(""); };
  this->Start({this->first.Address()}, "open g\nwrite w1\n");
  this->Send("write w2\n");
  EXPECT_TRUE(this->RunUntil([this] { return this->first.received == "open g\nwrite w1\nwrite w2\n"; }));
}

TEST_F(RelayedSessionTest, IsClosedOnlyBetweenMessages) {
  this->first.answer = [](const std::string& bytes) {
    return bytes.rfind("open", 0) == 0 ? AnswerAll(bytes) : std::optional<std::string>("");
  };
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  this->Send("read r1\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->first.received == "open g\nread r1\n"; }));
  EXPECT_FALSE(this->session->CloseIfIdle("the test says so"));
  this->RunFor(kFarewellLimit);
  EXPECT_FALSE(this->session->Closed());
  EXPECT_EQ(this->received, "ready 0 0 0\n");
}

TEST_F(RelayedSessionTest, TheCallerOfAnIdleSessionIsToldOfItsEnd) {
  this->first.answer = [](const std::string& bytes) {
    return bytes.rfind("open", 0) == 0 ? AnswerAll(bytes) : std::nullopt;
  };
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  EXPECT_FALSE(this->session->CloseIfIdle("the VM shuts down"));
  ASSERT_TRUE(this->RunUntil([this] { return this->received.size() > std::string("ready 0 0 0\n").size(); }));
  EXPECT_EQ(this->received, "ready 0 0 0\nfailure 0 retry_after_ms=0 the VM shuts down\n");
  const TimePoint told_at = BootClock::now();
  ASSERT_TRUE(this->RunUntil([this] { return this->caller_closed; }));
  EXPECT_LT(BootClock::now(), told_at + kFarewellLimit * 2);
  EXPECT_EQ(this->first.received, "open g\n");
}

// The statement reaches the VM after the session's end was told.
TEST_F(RelayedSessionTest, AStatementThatCrossesTheEndIsAnsweredAndNotPassedOn) {
  this->first.answer = [](const std::string& bytes) {
    return bytes.rfind("open", 0) == 0 ? AnswerAll(bytes) : std::optional<std::string>("");
  };
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\n"; }));
  this->Send("write w1");
  this->RunFor(milliseconds(20));
  EXPECT_FALSE(this->session->CloseIfIdle("the VM shuts down"));
  this->Send("\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->caller_closed; }));
  EXPECT_EQ(this->received, "ready 0 0 0\nfailure 0 retry_after_ms=0 the VM shuts down\nready 0 0 0\n");
  EXPECT_EQ(this->first.received, "open g\nwrite w1");
  ASSERT_EQ(this->context.ends.size(), 1U);
  EXPECT_EQ(this->context.ends.front().id, "w1");
}

// Its farewell is the only one that the caller may get.
TEST_F(RelayedSessionTest, ACarrierThatSaysFarewellIsLeftToEndTheSession) {
  this->first.answer = [](const std::string& bytes) {
    return bytes.rfind("open", 0) == 0 ? std::optional<std::string>("ready 0 0 0\nfailure 0 farewell\n")
                                       : AnswerAll(bytes);
  };
  this->Start({this->first.Address()});
  ASSERT_TRUE(this->RunUntil([this] { return this->received == "ready 0 0 0\nfailure 0 farewell\n"; }));
  EXPECT_FALSE(this->session->CloseIfIdle("the VM shuts down"));
  this->Send("read r1\n");
  ASSERT_TRUE(this->RunUntil([this] { return this->received.size() > 40; }));
  EXPECT_EQ(this->received, "ready 0 0 0\nfailure 0 farewell\nready 0 0 0\n");
}

}  // namespace
}  // namespace amaranthlane::proxy
