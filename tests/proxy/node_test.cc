#include "proxy/node.h"

#include <gtest/gtest.h>

#include "net/address.h"
#include "net/http_pool.h"
#include "proxy/node_fixture.h"

namespace amaranthlane::proxy {
namespace {

using std::chrono::milliseconds;

constexpr char kDone[] = "complete\nready 0 0 0\n";

class NodeTest : public NodeFixture {
 protected:
  // What the first VM answers to a request for its metrics; empty if it doesn't.
  std::string Metrics() {
    net::HttpPool pool(this->loop, net::ParseAddress(this->vms[0].settings.operators_address), 1);
    net::HttpRequest request;
    request.method = "GET";
    request.target = "/metrics";
    std::string body;
    pool.Call(std::move(request), BootClock::now() + std::chrono::seconds(5),
              [&body](const net::CallResult& result) { body = result.response.body; });
    EXPECT_TRUE(this->RunUntil([&body] { return !body.empty(); }));
    return body;
  }
};

TEST_F(NodeTest, EveryVmServesReadsAndWrites) {
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    const auto caller = this->Open(vm, "exact");
    const std::string id = "w" + std::to_string(vm);
    EXPECT_EQ(this->SendAndWait(*caller, "write " + id), "row e1 " + id + "\n" + kDone);
    EXPECT_EQ(this->SendAndWait(*caller, "read r" + std::to_string(vm)),
              "row e1 r" + std::to_string(vm) + "\n" + kDone);
  }
  EXPECT_EQ(this->group.log, (std::vector<std::string>{"w0", "w1", "w2"}));
}

TEST_F(NodeTest, AnUnknownDatabaseIsRefused) {
  const auto caller = this->Open(0, "nowhere");
  EXPECT_TRUE(this->RunUntil([&] { return caller->closed; }));
}

TEST_F(NodeTest, AMalformedMessageIsRefusedAndTheSessionContinues) {
  const auto caller = this->Open(0, "exact");
  EXPECT_EQ(this->SendAndWait(*caller, "dance").rfind("failure", 0), 0U);
  EXPECT_EQ(this->SendAndWait(*caller, "write w1"), std::string("row e1 w1\n") + kDone);
}

TEST_F(NodeTest, ASessionKeepsItsValuesOnEveryConnection) {
  const auto caller = this->Open(0, "bounded");
  const auto other = this->Open(0, "bounded");
  this->SendAndWait(*caller, "set s1 colour red");
  for (int round = 0; round < 6; ++round) {
    this->SendAndWait(*caller, "read c" + std::to_string(round));
    this->SendAndWait(*other, "read o" + std::to_string(round));
  }
  std::size_t seen = 0;
  for (const auto& endpoint : this->endpoints) {
    for (const ExecutedStatement& statement : endpoint->executed) {
      const bool own = statement.id.front() == 'c';
      ++seen;
      EXPECT_EQ(statement.values,
                own ? (std::map<std::string, std::string>{{"colour", "red"}}) : (std::map<std::string, std::string>{}))
          << statement.id;
    }
  }
  EXPECT_GE(seen, 12U);
}

TEST_F(NodeTest, ATransactionStaysOnOneConnection) {
  const auto caller = this->Open(0, "exact");
  const auto other = this->Open(0, "exact");
  this->SendAndWait(*caller, "begin b1");
  this->SendAndWait(*caller, "write t1");
  this->SendAndWait(*other, "write o1");
  this->SendAndWait(*caller, "write t2");
  EXPECT_EQ(this->group.log, (std::vector<std::string>{"o1"}));
  this->SendAndWait(*caller, "commit c1");
  EXPECT_EQ(this->group.log, (std::vector<std::string>{"o1", "t1", "t2"}));
  std::set<std::uint64_t> connections;
  std::set<std::uint64_t> other_connections;
  for (const ExecutedStatement& statement : this->Primary().executed) {
    (statement.id == "o1" ? other_connections : connections).insert(statement.connection);
  }
  EXPECT_EQ(connections.size(), 1U);
  EXPECT_EQ(other_connections.count(*connections.begin()), 0U);
}

TEST_F(NodeTest, ATransactionIsRolledBackWhenItsCallerDisconnects) {
  auto caller = this->Open(0, "exact");
  this->SendAndWait(*caller, "begin b1");
  this->SendAndWait(*caller, "write t1");
  caller.reset();
  const auto rolled_back = [this] {
    return !this->Primary().executed.empty() && this->Primary().executed.back().id.empty();
  };
  EXPECT_TRUE(this->RunUntil(rolled_back));
  EXPECT_TRUE(this->group.log.empty());
}

TEST_F(NodeTest, AnIdleTransactionIsAbortedAndItsCallerNotified) {
  this->store.configuration.version = 2;
  this->store.configuration.idle_transaction_timeout = milliseconds(200);
  this->store.Publish();
  const auto caller = this->Open(0, "exact");
  this->SendAndWait(*caller, "begin b1");
  this->SendAndWait(*caller, "write t1");
  this->RunFor(milliseconds(600));
  EXPECT_EQ(this->SendAndWait(*caller, "commit c1").rfind("failure 1 ", 0), 0U);
  EXPECT_TRUE(this->group.log.empty());
}

TEST_F(NodeTest, AWriteWhoseAnswerIsLostHasAnUnknownOutcomeAndIsNotRetried) {
  const auto caller = this->Open(0, "exact");
  this->SendAndWait(*caller, "write w1");
  this->Primary().drop_next_write_answer = true;
  EXPECT_EQ(this->SendAndWait(*caller, "write w2").rfind("failure 8 ", 0), 0U);
  this->RunFor(milliseconds(300));
  EXPECT_EQ(this->group.log, (std::vector<std::string>{"w1", "w2"}));
}

TEST_F(NodeTest, AReadWhoseEndpointDoesNotAnswerIsServedByAnother) {
  const auto caller = this->Open(0, "bounded");
  this->SendAndWait(*caller, "read r1");
  for (const auto& endpoint : this->endpoints) {
    if (endpoint->Entry().name != this->group.primary) {
      endpoint->silent = true;
    }
  }
  for (int round = 0; round < 5; ++round) {
    const std::string id = "s" + std::to_string(round);
    EXPECT_EQ(this->SendAndWait(*caller, "read " + id), "row e1 " + id + "\n" + kDone);
  }
}

TEST_F(NodeTest, ALaggingReplicaIsRarelyTriedAndServesNoStaleRead) {
  const auto caller = this->Open(0, "own");
  this->endpoints[1]->replication_stopped_at = 0;
  this->endpoints[2]->replication_stopped_at = 0;
  for (int round = 0; round < 100; ++round) {
    this->SendAndWait(*caller, "write w" + std::to_string(round));
    const std::string id = "r" + std::to_string(round);
    EXPECT_EQ(this->SendAndWait(*caller, "read " + id), "row e1 " + id + "\n" + kDone);
  }
  EXPECT_LT(this->endpoints[1]->rejected_reads + this->endpoints[2]->rejected_reads, 30U);
}

TEST_F(NodeTest, ACrashedPrimaryIsReplaced) {
  const auto caller = this->Open(0, "exact");
  this->SendAndWait(*caller, "write w1");
  this->endpoints[0]->Crash();
  EXPECT_TRUE(this->RunUntil([this] { return this->group.primary != "e1"; }));
  EXPECT_TRUE(this->RunUntil([&] { return this->SendAndWait(*caller, "write w2").rfind("row", 0) == 0; }));
  EXPECT_EQ(this->group.log.back(), "w2");
}

// The coordinator itself reaches the primary all the time.
TEST_F(NodeTest, APrimaryThatMostVmsCannotReachIsReplacedByOneChange) {
  for (const Vm& vm : this->vms) {
    if (vm.settings.vm != this->store.Record()->Coordinator()->vm) {
      this->endpoints[0]->silent_to_vms.insert(vm.settings.vm);
    }
  }
  const std::uint64_t version = this->store.Record()->version;
  const auto caller = this->Open(1, "exact");
  EXPECT_TRUE(this->RunUntil([&] { return this->SendAndWait(*caller, "write w1").rfind("row", 0) == 0; }));
  EXPECT_NE(this->group.primary, "e1");
  // One update of the record begins the change, and one ends it.
  EXPECT_EQ(this->store.Record()->version, version + 2);
}

// All endpoints crash and restart under new names. The former primary is still primary of its term and has its log.
TEST_F(NodeTest, AGroupRecoversWhenAllItsEndpointsRestartUnderNewNames) {
  const auto caller = this->Open(0, "exact");
  this->SendAndWait(*caller, "write w1");
  this->StartEndpoints({});
  this->RunFor(milliseconds(800));
  this->group.primary = "e4";
  this->StartEndpoints({"e4", "e5", "e6"});
  this->PublishEndpoints();
  EXPECT_TRUE(this->RunUntil([&] { return this->SendAndWait(*caller, "write w2").rfind("row", 0) == 0; }));
  EXPECT_EQ(this->group.log, (std::vector<std::string>{"w1", "w2"}));
  EXPECT_EQ(this->group.primary, "e4");
}

// An entry of another writer may hold an address that no endpoint listens on, of either kind.
TEST_F(NodeTest, AnEndpointThatCanNotBeConnectedToHidesNoOther) {
  for (const char* address : {"[::1]:1", "127.0.0.1:1"}) {
    failover::EndpointEntry entry = this->endpoints.front()->Entry();
    entry.name = std::string("foreign ") + address;
    entry.address = address;
    entry.claims_primary = false;
    this->store.directory.endpoints.emplace(entry.name, entry);
  }
  this->store.Publish();
  this->RunFor(milliseconds(300));
  const auto caller = this->Open(0, "exact");
  EXPECT_EQ(this->SendAndWait(*caller, "write w1"), std::string("row e1 w1\n") + kDone);
}

// Guards against connections to, and changes of primary for, any number of entries that another writer has left.
TEST_F(NodeTest, EndpointsOfAGroupThatNoConfigurationNamesAreNotUsed) {
  FakeGroup unnamed{"h", {}, "h1", 1};
  FakeEndpoint endpoint(this->loop, unnamed, "h1");
  this->store.directory.endpoints.emplace("h1", endpoint.Entry());
  this->store.Publish();
  this->RunFor(milliseconds(800));
  EXPECT_EQ(endpoint.OpenConnections(), 0U);
  EXPECT_EQ(this->store.Record()->groups.count("h"), 0U);
  ++this->store.configuration.version;
  this->store.configuration.groups["h"] = this->store.configuration.groups.at("g");
  this->store.Publish();
  EXPECT_TRUE(this->RunUntil([this] { return this->store.Record()->groups.count("h") > 0; }));
  EXPECT_GT(endpoint.OpenConnections(), 0U);
}

TEST_F(NodeTest, ADrainingPrimaryIsReplacedWithoutALostWrite) {
  const auto caller = this->Open(1, "exact");
  this->endpoints[0]->draining = true;
  this->PublishEndpoints();
  std::size_t acknowledged = 0;
  for (int round = 0; round < 4000 && this->group.primary == "e1"; ++round) {
    acknowledged += this->SendAndWait(*caller, "write w" + std::to_string(round)).rfind("row", 0) == 0 ? 1 : 0;
  }
  EXPECT_NE(this->group.primary, "e1");
  EXPECT_GE(this->group.log.size(), acknowledged);
  EXPECT_TRUE(this->RunUntil([&] { return this->SendAndWait(*caller, "write last").rfind("row", 0) == 0; }));
}

// Guards against a VM that counts the time for which a primary has been draining from its own start.
TEST_F(NodeTest, AVmThatStartsSendsNoWorkToAPrimaryThatIsDraining) {
  for (const auto& endpoint : this->endpoints) {
    endpoint->draining = true;
  }
  this->PublishEndpoints();
  this->RunFor(milliseconds(500));
  this->AddVm();
  this->RunFor(milliseconds(500));
  const auto late_caller = this->Open(this->vms.size() - 1, "exact");
  EXPECT_EQ(this->SendAndWait(*late_caller, "write w1").rfind("failure 0", 0), 0U);
  // A VM that knows when the drain began goes on for a while.
  const auto caller = this->Open(0, "exact");
  EXPECT_EQ(this->SendAndWait(*caller, "write w2"), std::string("row e1 w2\n") + kDone);
  EXPECT_EQ(this->group.log, std::vector<std::string>{"w2"});
}

// The same for a VM that learns late of the drain, because it had neither the store nor a member to tell it.
TEST_F(NodeTest, AVmThatLearnsLateOfADrainCountsFromItsLastCompleteDirectory) {
  EndpointPool& pool = *this->vms[0].node->FindDispatcher("g")->Pool("e1");
  for (Vm& vm : this->vms) {
    vm.platform->reachable = false;
  }
  this->RunFor(milliseconds(1000));
  const TimePoint learned_at = BootClock::now();
  for (Vm& vm : this->vms) {
    vm.platform->reachable = true;
  }
  for (const auto& endpoint : this->endpoints) {
    endpoint->draining = true;
  }
  this->PublishEndpoints();
  ASSERT_TRUE(this->RunUntil([&pool] { return pool.Endpoint().draining; }));
  EXPECT_TRUE(pool.DrainingLongerThan(milliseconds(900), learned_at));
}

TEST_F(NodeTest, WithoutAPrimaryAWriteIsRefusedWithARetryDelay) {
  for (const auto& endpoint : this->endpoints) {
    endpoint->Crash();
  }
  const auto caller = this->Open(0, "exact");
  EXPECT_EQ(this->SendAndWait(*caller, "write w1").rfind("failure 0 retry_after_ms=", 0), 0U);
}

TEST_F(NodeTest, WritesSucceedDuringAnOutageOfTheStore) {
  const auto caller = this->Open(0, "exact");
  for (Vm& vm : this->vms) {
    vm.platform->reachable = false;
  }
  const TimePoint end = BootClock::now() + std::chrono::seconds(3);
  for (int round = 0; BootClock::now() < end; ++round) {
    const std::string id = "w" + std::to_string(round);
    ASSERT_EQ(this->SendAndWait(*caller, "write " + id), "row e1 " + id + "\n" + kDone);
    this->RunFor(milliseconds(50));
  }
}

TEST_F(NodeTest, AShutdownEndsSessionsBetweenStatementsAndAnswersRunningOnes) {
  const auto caller = this->Open(0, "exact");
  this->vms[0].node->Shutdown();
  caller->TakeReceived();
  std::size_t sent_count = 0;
  std::string all;
  while (!caller->closed && sent_count < 100000) {
    all += caller->TakeReceived() + this->SendAndWait(*caller, "write w" + std::to_string(++sent_count));
  }
  ASSERT_TRUE(caller->closed);
  all += caller->TakeReceived();
  // The statement that crosses the close notice is refused with a complete answer and isn't run.
  const std::string refusal = "failure 0 retry_after_ms=0 the VM is shutting down\nready 0 0 0\n";
  ASSERT_GT(all.size(), refusal.size());
  EXPECT_EQ(all.find("failure"), all.size() - refusal.size()) << all.substr(all.size() - refusal.size());
  EXPECT_EQ(all.substr(all.size() - refusal.size()), refusal);
  EXPECT_EQ(caller->ready_count, sent_count + 1);
  EXPECT_EQ(this->group.log.size(), sent_count - 1);
}

TEST_F(NodeTest, AnIdleCallerIsNotifiedOfTheShutdown) {
  const auto caller = this->Open(0, "exact");
  caller->TakeReceived();
  this->vms[0].node->Shutdown();
  ASSERT_TRUE(this->RunUntil([&] { return caller->closed; }));
  EXPECT_EQ(caller->TakeReceived(), "failure 0 retry_after_ms=0 the VM is shutting down\n");
}

// Callers that send the next statement as soon as they have the answer to the last one, so that no timer finds their
// sessions idle. Each statement that an endpoint has taken on must be answered.
class BusySessionsTest : public NodeTest {
 protected:
  BusySessionsTest() {
    for (const auto& endpoint : this->endpoints) {
      endpoint->work = milliseconds(20);
    }
    for (int number = 0; number < 8; ++number) {
      this->callers.push_back(this->Open(0, "bounded"));
    }
  }

  std::size_t Executed() const {
    std::size_t executed = 0;
    for (const auto& endpoint : this->endpoints) {
      executed += endpoint->executed.size();
    }
    return executed;
  }

  bool AllClosed() const {
    return std::all_of(this->callers.begin(), this->callers.end(), [](const auto& caller) { return caller->closed; });
  }

  std::size_t Completed() const {
    std::size_t completed = 0;
    for (const auto& caller : this->callers) {
      for (std::size_t at = caller->received.find("complete\n"); at != std::string::npos;
           at = caller->received.find("complete\n", at + 1)) {
        ++completed;
      }
    }
    return completed;
  }

  std::vector<std::unique_ptr<TestCaller>> callers;
  std::size_t sent = 0;
};

// Guards against sessions that a shutdown breaks off because they were busy whenever a timer looked at them.
TEST_F(BusySessionsTest, AShutdownClosesThemAtTheEndOfAStatement) {
  for (const auto& caller : this->callers) {
    caller->SendWithoutPause([this] { return "read r" + std::to_string(++this->sent); });
  }
  this->RunFor(milliseconds(200));
  const TimePoint stopped_at = BootClock::now();
  this->vms[0].node->Shutdown();
  ASSERT_TRUE(this->RunUntil([this] { return this->AllClosed(); }));
  // Long before the end of the grace period, at which open sessions are closed whether busy or not.
  EXPECT_LT(BootClock::now(), stopped_at + std::chrono::seconds(4));
  EXPECT_EQ(this->Completed(), this->Executed());
}

// The same for statements that the caller has sent before the last one was answered.
TEST_F(BusySessionsTest, AShutdownBeginsNoPipelinedStatement) {
  for (const auto& caller : this->callers) {
    caller->Send("read p1\nread p2\nread p3");
    caller->SendWithoutPause([this] { return "read r" + std::to_string(++this->sent); });
  }
  this->RunFor(milliseconds(200));
  const TimePoint stopped_at = BootClock::now();
  this->vms[0].node->Shutdown();
  ASSERT_TRUE(this->RunUntil([this] { return this->AllClosed(); }));
  EXPECT_LT(BootClock::now(), stopped_at + std::chrono::seconds(4));
  EXPECT_EQ(this->Completed(), this->Executed());
}

// Guards against transactions whose statements follow each other so closely that a timer never finds one to abort.
TEST_F(BusySessionsTest, AShutdownAbortsTheirTransactionsBetweenStatements) {
  for (const auto& caller : this->callers) {
    this->SendAndWait(*caller, "begin_read b1");
    caller->SendWithoutPause([this, &caller] {
      const bool failed = caller->received.find("failure") != std::string::npos;
      return (failed ? "rollback r" : "read r") + std::to_string(++this->sent);
    });
  }
  this->RunFor(milliseconds(200));
  const TimePoint stopped_at = BootClock::now();
  this->vms[0].node->Shutdown();
  ASSERT_TRUE(this->RunUntil([this] { return this->AllClosed(); }));
  EXPECT_LT(BootClock::now(), stopped_at + std::chrono::seconds(4));
}

// The caller sends the statement before it has read the close notice.
TEST_F(NodeTest, AStatementThatCrossesTheCloseNoticeIsAnsweredAndNotRun) {
  const auto caller = this->Open(0, "exact");
  caller->TakeReceived();
  this->vms[0].node->Shutdown();
  ASSERT_TRUE(this->RunUntil([&] { return !caller->received.empty(); }));
  caller->Send("write w1");
  ASSERT_TRUE(this->RunUntil([&] { return caller->closed; }));
  EXPECT_EQ(caller->TakeReceived(), "failure 0 retry_after_ms=0 the VM is shutting down\nready 0 0 0\n");
  EXPECT_TRUE(this->group.log.empty());
}

// Guards against a caller's bytes that a closing session drops without an answer, as if another VM had sent a notice.
TEST_F(NodeTest, AMalformedMessageThatCrossesTheCloseNoticeIsAnswered) {
  const auto caller = this->Open(0, "exact");
  caller->TakeReceived();
  this->vms[0].node->Shutdown();
  ASSERT_TRUE(this->RunUntil([&] { return !caller->received.empty(); }));
  caller->Send("\x02 999 127.0.0.1:9");
  ASSERT_TRUE(this->RunUntil([&] { return caller->closed; }));
  EXPECT_EQ(caller->TakeReceived(), "failure 0 retry_after_ms=0 the VM is shutting down\nready 0 0 0\n");
}

TEST_F(NodeTest, AMessageBeyondTheLimitIsRefused) {
  const auto caller = this->Open(0, "exact");
  caller->TakeReceived();
  constexpr std::size_t kLimit = 1U << 20U;
  const std::string start = "write w1 ";
  // One byte more than the limit, with the terminator.
  caller->Send(start + std::string(kLimit - start.size(), 'x'));
  ASSERT_TRUE(this->RunUntil([&] { return caller->closed; }));
  EXPECT_EQ(caller->TakeReceived().rfind("failure 12 ", 0), 0U);
  EXPECT_TRUE(this->group.log.empty());
}

TEST_F(NodeTest, AMessageOfTheLimitIsServed) {
  const auto caller = this->Open(0, "exact");
  caller->TakeReceived();
  constexpr std::size_t kLimit = 1U << 20U;
  const std::string start = "write w1 ";
  const std::string answer = this->SendAndWait(*caller, start + std::string(kLimit - start.size() - 1, 'x'));
  EXPECT_EQ(answer, std::string("row e1 w1\n") + kDone);
}

// Guards against a running statement that is answered as too large because of the messages sent after it.
TEST_F(NodeTest, StatementsThatWaitForARunningOneHaveNoCommonLimit) {
  constexpr std::size_t kStatements = 6;
  this->Primary().work = milliseconds(100);
  const auto caller = this->Open(0, "exact");
  caller->TakeReceived();
  const std::size_t before = caller->ready_count;
  std::string messages;
  for (std::size_t number = 0; number < kStatements; ++number) {
    messages += "write w" + std::to_string(number) + " " + std::string(300'000, 'x') + "\n";
  }
  messages.pop_back();
  caller->Send(messages);
  this->RunUntil([&] { return caller->ready_count >= before + kStatements || caller->closed; });
  EXPECT_EQ(this->group.log.size(), kStatements);
  EXPECT_EQ(caller->received.find("failure"), std::string::npos) << caller->received;
}

TEST_F(NodeTest, MetricsExposeTheStateOfTheVm) {
  const auto caller = this->Open(0, "exact");
  this->SendAndWait(*caller, "write w1");
  this->RunFor(milliseconds(200));
  const std::string body = this->Metrics();
  for (const char* line : {"amaranthlane_may_use_primaries 1\n", "amaranthlane_sessions 1\n",
                           "amaranthlane_groups_changing 0\n", "amaranthlane_configuration_version 1\n"}) {
    EXPECT_NE(body.find(line), std::string::npos) << line << body;
  }
}

TEST_F(NodeTest, MetricsCountRefusedMessages) {
  const auto caller = this->Open(0, "exact");
  this->SendAndWait(*caller, "dance");
  this->SendAndWait(*caller, "dance");
  const std::string body = this->Metrics();
  EXPECT_NE(body.find("amaranthlane_statements_total{kind=\"message\",outcome=\"malformed\"} 2\n"), std::string::npos)
      << body;
}

// What VMs learn from each other.

TEST_F(LargeFleetTest, OnlyMembersWatchTheStore) {
  EXPECT_TRUE(this->RunUntil([this] {
    bool settled = true;
    for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
      settled = settled && this->vms[vm].platform->watching == this->IsMember(vm);
    }
    return settled;
  }));
}

TEST_F(LargeFleetTest, AConfigurationReachesVmsThroughTheirPeers) {
  const std::size_t vm = this->NonMember();
  this->vms[vm].platform->reachable = false;
  this->store.configuration.version = 7;
  this->store.configuration.routes["fresh"] = this->store.configuration.routes["exact"];
  this->store.Publish();
  EXPECT_TRUE(this->RunUntil([&] {
    const Configuration* known = this->vms[vm].node->CurrentConfiguration();
    return known != nullptr && known->version == 7 && known->routes.count("fresh") > 0;
  }));
  const auto caller = this->Open(vm, "fresh");
  EXPECT_EQ(this->SendAndWait(*caller, "write w1"), std::string("row e1 w1\n") + kDone);
}

TEST_F(LargeFleetTest, AConfigurationReachesAMemberThatCannotReachTheStore) {
  std::size_t vm = 0;
  while (!this->IsMember(vm)) {
    ++vm;
  }
  this->vms[vm].platform->reachable = false;
  this->store.configuration.version = 8;
  this->store.Publish();
  EXPECT_TRUE(this->RunUntil([&] { return this->vms[vm].node->CurrentConfiguration()->version == 8; }));
}

TEST_F(LargeFleetTest, ANewEndpointReachesVmsThroughTheirPeers) {
  const std::size_t vm = this->NonMember();
  this->vms[vm].platform->reachable = false;
  this->endpoints.push_back(std::make_unique<FakeEndpoint>(this->loop, this->group, "e4"));
  this->PublishEndpoints();
  EXPECT_TRUE(this->RunUntil([&] { return this->vms[vm].node->FindDispatcher("g")->Pool("e4") != nullptr; }));
}

TEST_F(LargeFleetTest, AVmThatStartsWithoutTheStoreServesOnceTheStoreAnswers) {
  this->AddVm();
  Vm& late_vm = this->vms.back();
  late_vm.platform->reachable = false;
  this->RunFor(milliseconds(300));
  for (const auto& endpoint : this->endpoints) {
    EXPECT_EQ(endpoint->refused_connections, 0U);
  }
  late_vm.platform->reachable = true;
  late_vm.platform->Refresh();
  const auto caller = this->Open(this->vms.size() - 1, "exact");
  EXPECT_TRUE(this->RunUntil([&] { return this->SendAndWait(*caller, "write w1").rfind("row", 0) == 0; }));
}

// The endpoints accept too few connections for each VM to have its own, so some VMs serve the sessions of the others.
TEST_F(LargeFleetTest, SessionsAreRelayedToGatewaysAndConnectionsStayWithinTheLimit) {
  constexpr std::size_t kLimit = 6;
  for (const auto& endpoint : this->endpoints) {
    endpoint->connection_limit = kLimit;
    endpoint->max_open_connections = 0;
  }
  this->store.configuration.version = 2;
  this->store.configuration.groups["g"].max_connections = kLimit;
  this->store.Publish();
  EXPECT_TRUE(this->RunUntil([this] {
    std::size_t relaying = 0;
    for (Vm& vm : this->vms) {
      relaying += vm.node->GatewaysFor("g", {}).empty() ? 0 : 1;
    }
    return relaying > 0 && relaying < this->vms.size();
  }));
  this->RunFor(milliseconds(1500));
  std::vector<std::unique_ptr<TestCaller>> callers;
  for (std::size_t vm = 0; vm < this->vms.size(); ++vm) {
    callers.push_back(this->Open(vm, "exact"));
  }
  std::size_t refused = 0;
  for (const auto& endpoint : this->endpoints) {
    refused += endpoint->refused_connections;
  }
  std::size_t done = 0;
  for (int round = 0; round < 20; ++round) {
    for (std::size_t vm = 0; vm < callers.size(); ++vm) {
      const std::string id = "w" + std::to_string(vm) + "-" + std::to_string(round);
      done += this->SendAndWait(*callers[vm], "write " + id) == "row e1 " + id + "\n" + kDone ? 1 : 0;
    }
  }
  EXPECT_EQ(done, 20 * callers.size());
  EXPECT_EQ(this->group.log.size(), done);
  for (const auto& endpoint : this->endpoints) {
    EXPECT_LE(endpoint->OpenConnections(), kLimit);
    refused -= endpoint->refused_connections;
  }
  EXPECT_EQ(refused, 0U);
}

}  // namespace
}  // namespace amaranthlane::proxy
