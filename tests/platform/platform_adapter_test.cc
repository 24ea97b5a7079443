#include "platform/platform_adapter.h"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "platform/store_stand_in.h"

namespace amaranthlane::platform {
namespace {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

nlohmann::json ConfigurationSpec(std::uint64_t version) {
  return {{"version", version}, {"routes", nlohmann::json::array()}, {"services", nlohmann::json::array()}};
}

nlohmann::json EndpointSpec(const std::string& state, unsigned slots) {
  return {{"service", "g"}, {"address", "127.0.0.1:7000"}, {"state", state}, {"db_role", "replica"}, {"slots", slots}};
}

Settings MakeSettings(const net::Address& store) {
  Settings settings;
  settings.platform_address = store.ip + ":" + std::to_string(store.port);
  return settings;
}

// The adapter before a store that can be restored from an older copy.
class PlatformAdapterTest : public ::testing::Test {
 protected:
  PlatformAdapterTest() : store(this->loop), adapter(this->loop, MakeSettings(this->store.Address())) {
    this->store.Put("config", "main", ConfigurationSpec(1));
    this->store.Put("servers", "e1", EndpointSpec("ready", 2));
    this->adapter.SubscribeToConfiguration(
        [this](const proxy::Configuration& update, TimePoint) { this->configuration = update; });
    this->adapter.SubscribeToDirectory(
        [this](proxy::DirectorySnapshot update, TimePoint) { this->directory = std::move(update); });
    EXPECT_TRUE(this->RunUntil(
        [this] { return this->configuration.version == 1 && this->directory.endpoints.count("e1") > 0; }));
  }

  bool RunUntil(const std::function<bool()>& done, milliseconds timeout = milliseconds(4000)) {
    const TimePoint end = BootClock::now() + timeout;
    bool finished = done();
    while (!finished && BootClock::now() < end) {
      this->loop.restart();
      this->loop.run_for(milliseconds(5));
      finished = done();
    }
    return finished;
  }

  boost::asio::io_context loop;
  StoreStandIn store;
  PlatformAdapter adapter;
  proxy::Configuration configuration;
  proxy::DirectorySnapshot directory;
};

// Guards against a configuration that is taken for a known one because the restored store gave its revision out again.
TEST_F(PlatformAdapterTest, ReadsAConfigurationWhoseRevisionWasGivenOutAgain) {
  const StoreStandIn::Content copy = this->store.content;
  this->store.Put("config", "main", ConfigurationSpec(2));
  ASSERT_TRUE(this->RunUntil([this] { return this->configuration.version == 2; }));
  this->store.Restore(copy);
  this->store.Put("config", "main", ConfigurationSpec(5));
  EXPECT_TRUE(this->RunUntil([this] { return this->configuration.version == 5; }));
}

// The same for an entry of the directory of endpoints.
TEST_F(PlatformAdapterTest, ReadsAnEntryWhoseRevisionWasGivenOutAgain) {
  const StoreStandIn::Content copy = this->store.content;
  this->store.Put("servers", "e1", EndpointSpec("ready", 3));
  ASSERT_TRUE(this->RunUntil([this] { return this->directory.endpoints.at("e1").slots == 3; }));
  this->store.Restore(copy);
  this->store.Put("servers", "e1", EndpointSpec("draining", 3));
  EXPECT_TRUE(this->RunUntil([this] { return this->directory.endpoints.at("e1").draining; }));
}

// Guards against an entry that is hidden for good once another writer has changed it, or that stays as it was before.
TEST_F(PlatformAdapterTest, AnEntryIsLeftOutUntilItIsRepaired) {
  this->store.Put("servers", "e2", EndpointSpec("ready", 2));
  for (const nlohmann::json& odd : {nlohmann::json(nullptr), nlohmann::json::array({1, 2}), EndpointSpec("odd", 2)}) {
    this->store.Put("servers", "e1", odd);
    ASSERT_TRUE(this->RunUntil([this] { return this->directory.endpoints.count("e1") == 0; })) << odd;
    EXPECT_EQ(this->directory.invalid_entries, 1U);
    EXPECT_EQ(this->directory.endpoints.count("e2"), 1U);
    this->store.Put("servers", "e1", EndpointSpec("draining", 5));
    ASSERT_TRUE(this->RunUntil([this] { return this->directory.endpoints.count("e1") == 1; })) << odd;
    EXPECT_EQ(this->directory.endpoints.at("e1").slots, 5U);
    EXPECT_EQ(this->directory.invalid_entries, 0U);
  }
}

// Guards against a copy that keeps an unusable entry's former state when the store is restored.
TEST_F(PlatformAdapterTest, FollowsARestoredStoreBesideForeignEntries) {
  for (int number = 0; number < 50; ++number) {
    this->store.Put("servers", "foreign-" + std::to_string(number), nlohmann::json::array({number}));
  }
  const StoreStandIn::Content copy = this->store.content;
  this->store.Put("servers", "foreign-1", EndpointSpec("ready", 2));
  this->store.Put("servers", "e1", nlohmann::json::array());
  ASSERT_TRUE(this->RunUntil([this] {
    return this->directory.endpoints.count("foreign-1") == 1 && this->directory.endpoints.count("e1") == 0;
  }));
  this->store.Restore(copy);
  ASSERT_TRUE(this->RunUntil([this] {
    return this->directory.endpoints.count("foreign-1") == 0 && this->directory.endpoints.count("e1") == 1;
  }));
  EXPECT_EQ(this->directory.invalid_entries, 50U);
}

// Guards against a limit that hides a configuration which the store takes: nearly 1 MiB of short keys and routes.
TEST_F(PlatformAdapterTest, ReadsTheLargestConfiguration) {
  constexpr std::size_t kKeys = 70000;
  constexpr std::size_t kRoutes = 5000;
  constexpr std::size_t kMaxValueBytes = 1U << 20U;
  nlohmann::json spec = ConfigurationSpec(2);
  nlohmann::json keys = nlohmann::json::array();
  for (std::size_t number = 0; number < kKeys; ++number) {
    keys.push_back(std::to_string(10000 + number));
  }
  spec["tenants"] = {{{"name", "t"}, {"api_keys", keys}}};
  for (std::size_t number = 0; number < kRoutes; ++number) {
    const std::string database = "d" + std::to_string(number);
    spec["routes"].push_back({{"name", database}, {"host", database}, {"service", "g"}, {"route_type", "primary"}});
  }
  ASSERT_GT(spec.dump().size(), kMaxValueBytes * 3 / 4);
  ASSERT_LT(spec.dump().size(), kMaxValueBytes);
  this->store.Put("config", "main", spec);
  ASSERT_TRUE(this->RunUntil([this] { return this->configuration.version == 2; }));
  EXPECT_EQ(this->configuration.routes.size(), kRoutes);
  EXPECT_EQ(this->configuration.access.Organisations().at("t").keys.size(), kKeys);
}

// The adapter before a platform that accepts connections and answers nothing.
class PromotionTest : public ::testing::Test {
 protected:
  PromotionTest()
      : acceptor(this->loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        adapter(this->loop, MakeSettings({"127.0.0.1", this->acceptor.local_endpoint().port()})) {}

  void Order(milliseconds timeout) {
    this->adapter.Promote({"g", "e1", 1, BootClock::now() + timeout}, "vm-1",
                          [this](failover::PromotionResult result) { this->results.push_back(result); });
  }

  // Returns how the platform's next connection ends.
  boost::system::error_code EndOfConnection() {
    tcp::socket platform = this->acceptor.accept();
    std::array<char, 1024> buffer{};
    boost::system::error_code end;
    while (!end) {
      platform.read_some(boost::asio::buffer(buffer), end);
    }
    return end;
  }

  boost::asio::io_context loop;
  tcp::acceptor acceptor;
  PlatformAdapter adapter;
  std::vector<failover::PromotionResult> results;
};

// Guards against an order that a partition holds up and that reaches the platform after that of another coordinator.
TEST_F(PromotionTest, AnOrderEndsAtItsDeadline) {
  this->Order(milliseconds(100));
  this->loop.run_for(milliseconds(300));
  EXPECT_EQ(this->results, std::vector{failover::PromotionResult::kFailed});
  EXPECT_EQ(this->EndOfConnection(), boost::asio::error::connection_reset);
}

// Guards against orders of a coordinator that has learned of its successor.
TEST_F(PromotionTest, AllOrdersInFlightCanBeEnded) {
  for (int order = 0; order < 3; ++order) {
    this->Order(milliseconds(5000));
  }
  this->loop.run_for(milliseconds(100));
  this->adapter.CancelPromotions();
  EXPECT_EQ(this->results, std::vector(3, failover::PromotionResult::kFailed));
  for (int order = 0; order < 3; ++order) {
    EXPECT_EQ(this->EndOfConnection(), boost::asio::error::connection_reset);
  }
}

coordination::CoordinationRecord MakeRecord(std::uint64_t version) {
  coordination::CoordinationRecord record;
  record.version = version;
  record.members = {{"vm-1", "127.0.0.1:1"}};
  return record;
}

// The answer to a read of the coordination record.
struct ReadResult {
  bool answered = false;
  std::optional<coordination::CoordinationRecord> record;
  StoreRevision revision;
};

class RecordStoreTest : public PlatformAdapterTest {
 protected:
  ReadResult Read() {
    std::optional<ReadResult> result;
    this->adapter.ReadRecord([&result](bool answered, const std::optional<coordination::CoordinationRecord>& record,
                                       const StoreRevision& revision) {
      result = {answered, record, revision};
    });
    EXPECT_TRUE(this->RunUntil([&result] { return result.has_value(); }));
    return result.value_or(ReadResult{});
  }

  coordination::WriteResult Write(std::uint64_t version, const StoreRevision& expected) {
    std::optional<coordination::WriteResult> result;
    this->adapter.WriteRecord(MakeRecord(version), expected,
                              [&result](coordination::WriteResult written, const StoreRevision&) { result = written; });
    EXPECT_TRUE(this->RunUntil([&result] { return result.has_value(); }));
    return result.value_or(coordination::WriteResult::kUnknown);
  }
};

TEST_F(RecordStoreTest, WritesOnTheConditionOfTheKnownRevision) {
  EXPECT_EQ(this->Read().revision, (StoreRevision{1, 0}));
  EXPECT_EQ(this->Write(1, {1, 0}), coordination::WriteResult::kWritten);
  const ReadResult read = this->Read();
  EXPECT_EQ(read.record->version, 1U);
  EXPECT_EQ(this->Write(2, {1, 0}), coordination::WriteResult::kConflict);
  EXPECT_EQ(this->Write(2, read.revision), coordination::WriteResult::kWritten);
  EXPECT_EQ(this->Read().record->version, 2U);
}

// Guards against a record of an earlier era that passes for the current one.
TEST_F(RecordStoreTest, AnEraBeginsWithoutARecordOfItsOwn) {
  this->Write(1, {1, 0});
  this->Write(2, this->Read().revision);
  this->store.Restore(this->store.content);
  ReadResult read = this->Read();
  EXPECT_EQ(read.revision, (StoreRevision{2, 0}));
  EXPECT_EQ(read.record->version, 2U);
  EXPECT_EQ(this->Write(3, {2, 0}), coordination::WriteResult::kWritten);
  this->store.Restore(this->store.content);
  read = this->Read();
  EXPECT_EQ(read.revision, (StoreRevision{3, 0}));
  EXPECT_EQ(read.record->version, 3U);
}

// Guards against a write whose condition holds because the restored store gave a revision out again.
TEST_F(RecordStoreTest, AWriteOfAnEarlierEraChangesNoRecordOfALaterOne) {
  this->Write(1, {1, 0});
  const ReadResult before = this->Read();
  const StoreStandIn::Content copy = this->store.content;
  this->store.Restore(copy);
  EXPECT_EQ(this->Write(7, {2, 0}), coordination::WriteResult::kWritten);
  EXPECT_EQ(this->Write(2, before.revision), coordination::WriteResult::kConflict);
  EXPECT_EQ(this->Read().record->version, 7U);
}

TEST_F(RecordStoreTest, AStoreThatNamesNoRecordBeginsAnew) {
  this->store.Restore(this->store.content);
  const ReadResult read = this->Read();
  EXPECT_TRUE(read.answered);
  EXPECT_FALSE(read.record.has_value());
  EXPECT_EQ(read.revision, (StoreRevision{2, 0}));
}

}  // namespace
}  // namespace amaranthlane::platform
