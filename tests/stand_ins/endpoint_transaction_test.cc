#include <gtest/gtest.h>

#include "stand_ins/endpoint_fixture.h"

namespace amaranthlane::testing {
namespace {

constexpr unsigned kOk = 200;

TEST(EndpointTransactionTest, WritesBecomeVisibleToOthersOnlyAfterCommit) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  JsonClient client(group.endpoints[0]->port);
  EXPECT_EQ(client.Post("/v1/statement", InTransaction(1, Add("stock", 2))).body["result"]["value"], 2);
  EXPECT_EQ(client.Post("/v1/statement", InTransaction(1, Get("stock"))).body["result"]["value"], 2);
  const nlohmann::json list = {{"op", "list"}, {"prefix", "st"}, {"limit", 5}};
  EXPECT_EQ(client.Post("/v1/statement", InTransaction(1, list)).body["result"]["rows"][0]["value"], 2);
  EXPECT_TRUE(group.ReadValue(0, 1, "stock").is_null());
  EXPECT_EQ(client.Post("/v1/commit", TransactionEnd(1)).body["position"],
            nlohmann::json({{"term", 1}, {"offset", 1}}));
  EXPECT_EQ(group.ReadValue(0, 1, "stock"), 2);
  EXPECT_EQ(client.Post("/v1/commit", TransactionEnd(1)).body["type"], "urn:amaranthlane:no-transaction");
}

TEST(EndpointTransactionTest, ClosedConnectionAndRollbackDiscardWrites) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  JsonClient client(group.endpoints[0]->port);
  ASSERT_EQ(client.Post("/v1/statement", InTransaction(1, Add("stock", 2))).status, kOk);
  client.Close();
  EXPECT_EQ(client.Post("/v1/commit", TransactionEnd(1)).body["type"], "urn:amaranthlane:no-transaction");
  ASSERT_EQ(client.Post("/v1/statement", InTransaction(1, Add("stock", 2))).status, kOk);
  EXPECT_EQ(client.Post("/v1/rollback", TransactionEnd(1)).status, kOk);
  EXPECT_TRUE(group.ReadValue(0, 1, "stock").is_null());
}

TEST(EndpointTransactionTest, ConcurrentAddsAreBothApplied) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  JsonClient first(group.endpoints[0]->port);
  JsonClient second(group.endpoints[0]->port);
  ASSERT_EQ(first.Post("/v1/statement", InTransaction(1, Add("stock", 2))).status, kOk);
  ASSERT_EQ(second.Post("/v1/statement", InTransaction(1, Add("stock", 3))).status, kOk);
  ASSERT_EQ(first.Post("/v1/commit", TransactionEnd(1)).status, kOk);
  ASSERT_EQ(second.Post("/v1/commit", TransactionEnd(1)).status, kOk);
  EXPECT_EQ(group.ReadValue(0, 1, "stock"), 5);
}

TEST(EndpointTransactionTest, CommitWithRepeatedKeyReturnsStoredResult) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  nlohmann::json commit = TransactionEnd(1);
  commit["idempotency_key"] = "k";
  for (const bool replayed : {false, true}) {
    JsonClient client(group.endpoints[0]->port);
    ASSERT_EQ(client.Post("/v1/statement", InTransaction(1, Add("stock", 2))).status, kOk);
    EXPECT_EQ(client.Post("/v1/commit", commit).body["replayed"], replayed);
  }
  EXPECT_EQ(group.ReadValue(0, 1, "stock"), 2);
}

TEST(EndpointTransactionTest, RejectsCommitOfTransactionFromEarlierTerm) {
  EndpointGroup group;
  group.ConfigureAll(1, 0);
  JsonClient client(group.endpoints[0]->port);
  ASSERT_EQ(client.Post("/v1/statement", InTransaction(1, Add("stock", 2))).status, kOk);
  ASSERT_EQ(group.Configure(0, 2, 0).status, kOk);
  const HttpResponse refused = client.Post("/v1/commit", TransactionEnd(2));
  EXPECT_EQ(refused.body["type"], "urn:amaranthlane:stale-term");
  EXPECT_EQ(refused.body["outcome"], "not_run");
  EXPECT_TRUE(group.ReadValue(0, 2, "stock").is_null());
}

}  // namespace
}  // namespace amaranthlane::testing
