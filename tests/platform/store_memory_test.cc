#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "common/error.h"
#include "common/json.h"
#include "platform/heap_meter.h"
#include "platform/platform_adapter.h"
#include "platform/shared_store.h"

// The memory that objects of other writers take, whatever they hold. The target is that of the users: 40 MB above the
// same list without them.
namespace amaranthlane::platform {
namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kMaxPeakBytes = 40 * kMegabyte;
// What is kept once the store was read. It doesn't depend on the number of foreign objects.
constexpr std::size_t kMaxKeptBytes = 1 * kMegabyte;
// The store's largest value, but for the members around the text.
constexpr std::size_t kTextBytes = kMegabyte - 512;

std::string Repeated(const std::string& text, const std::string& separator, std::size_t bytes) {
  std::string repeated = text;
  while (repeated.size() + separator.size() + text.size() < bytes) {
    repeated += separator;
    repeated += text;
  }
  return repeated;
}

std::string Nested(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

// Members of an object as another writer may leave them.
struct Shape {
  std::string name;
  std::string members;
};

void PrintTo(const Shape& shape, std::ostream* out) { *out << shape.name; }

std::vector<Shape> Shapes() {
  const std::string entry = R"("service":"g","address":"127.0.0.1:7000","db_role":"replica","state":"ready")";
  const auto spec = [&entry](const std::string& member) { return "\"spec\":{" + entry + "," + member + "}"; };
  return {
      {"EmptyObjectsInPlaceOfANumber", spec("\"slots\":[" + Repeated("{}", ",", kTextBytes) + "]")},
      {"NumbersInAMemberThatIsNotRead", spec("\"extra\":[" + Repeated("1", ",", kTextBytes) + "],\"slots\":\"\"")},
      {"AnEndpointWithAMemberThatIsNotRead", spec("\"slots\":2,\"extra\":[" + Repeated("{}", ",", kTextBytes) + "]")},
      {"OneMemberAgainAndAgain", spec(Repeated("\"slots\":[]", ",", kTextBytes))},
      {"ManyMembers", spec("\"slots\":{" + Repeated("\"a\":{}", ",", kTextBytes) + "}")},
      {"DeepNesting", spec("\"slots\":" + Nested(kTextBytes / 2))},
      {"ManyDeepNestings", spec("\"slots\":[" + Repeated(Nested(60), ",", kTextBytes) + "]")},
      {"ALongString", spec("\"slots\":\"" + std::string(kTextBytes, 'x') + "\"")},
      {"ALongStringThatIsNotUtf8", spec("\"slots\":1,\"zone\":\"" + std::string(kTextBytes, '\xc3') + "\"")},
      {"ALongWord", spec("\"slots\":" + std::string(kTextBytes, '9'))},
      {"WordsThatAreNotJson", spec("\"slots\":[" + Repeated("1e999", ",", kTextBytes) + "]")},
      {"NoObjectAsSpec", "\"spec\":[" + Repeated("[]", ",", kTextBytes) + "]"},
      {"AStatus", "\"status\":[" + Repeated("{}", ",", kTextBytes) + "],\"spec\":{}"}};
}

// Reads a store with these objects beside the entries of two endpoints, until the last change of those is known.
void ReadStoreWith(const ForeignObjects& foreign, std::size_t max_kept_bytes = kMaxKeptBytes) {
  const SharedStore store(foreign);
  const testing::HeapMeter heap;
  boost::asio::io_context loop;
  Settings settings;
  settings.platform_address = net::ToString(store.Address());
  PlatformAdapter adapter(loop, settings);
  proxy::Configuration configuration;
  proxy::DirectorySnapshot directory;
  adapter.SubscribeToConfiguration([&](const proxy::Configuration& update, TimePoint) { configuration = update; });
  adapter.SubscribeToDirectory([&](proxy::DirectorySnapshot update, TimePoint) { directory = std::move(update); });
  const auto done = [&] {
    const auto last = directory.endpoints.find("z");
    return configuration.version == SharedStore::kLastVersion && last != directory.endpoints.end() &&
           last->second.draining;
  };
  const TimePoint end = BootClock::now() + std::chrono::seconds(20);
  while (!done() && BootClock::now() < end) {
    loop.restart();
    loop.run_for(std::chrono::milliseconds(5));
  }
  EXPECT_TRUE(done());
  EXPECT_EQ(directory.endpoints.count("a"), 1U);
  EXPECT_LE(heap.PeakBytes(), kMaxPeakBytes);
  EXPECT_LE(heap.CurrentBytes(), max_kept_bytes);
}

constexpr std::size_t kCount = 24;

class StoreMemoryTest : public ::testing::TestWithParam<Shape> {};

// Guards against machines that end again and again for memory while entries of another writer stand in the store.
TEST_P(StoreMemoryTest, ForeignEntriesInTheList) { ReadStoreWith({"servers", kCount, this->GetParam().members}); }

// Guards against a watch whose answer is refused for its size, so that later entries are never seen.
TEST_P(StoreMemoryTest, ForeignEntriesThatArriveAtOnce) {
  ReadStoreWith({"servers", kCount, this->GetParam().members, 1, /*arrive_at_once=*/true});
}

// The same among the configurations.
TEST_P(StoreMemoryTest, ForeignConfigurations) {
  ReadStoreWith({"config", kCount, this->GetParam().members, 1, /*arrive_at_once=*/true});
}

INSTANTIATE_TEST_SUITE_P(Shapes, StoreMemoryTest, ::testing::ValuesIn(Shapes()),
                         [](const auto& parameter) { return parameter.param.name; });

// Guards against memory that grows with the number of small entries.
TEST(StoreMemory, ManySmallForeignEntries) {
  constexpr std::size_t kMany = 50000;
  constexpr std::size_t kPerPage = 500;
  ReadStoreWith({"servers", kMany, R"("spec":{"slots":null})", kPerPage});
  ReadStoreWith({"servers", kMany, R"("spec":{"slots":null})", kPerPage, /*arrive_at_once=*/true});
}

// Entries that are valid are kept, as a configuration may name their group at any time. No number of them hides
// another.
TEST(StoreMemory, ManyValidForeignEntries) {
  constexpr std::size_t kMany = 20000;
  constexpr std::size_t kPerPage = 500;
  const std::string entry =
      R"("spec":{"service":"unnamed","address":"127.0.0.1:7000","db_role":"replica","state":"ready","slots":1})";
  ReadStoreWith({"servers", kMany, entry, kPerPage}, kMaxPeakBytes);
}

// Guards against a message of another VM, or a single object of the store, of legal size that takes many times its
// length.
TEST(StoreMemory, OneParsedText) {
  const std::string keys = Repeated("\"a\":0", ",", kTextBytes);
  for (const std::string& text :
       {"[" + Repeated("{}", ",", kTextBytes) + "]", "[" + Repeated("\"\"", ",", kTextBytes) + "]",
        "[" + Repeated("{\"a\":0}", ",", kTextBytes) + "]", "[" + Repeated("{\"a\":{}}", ",", kTextBytes) + "]",
        "[" + Repeated("\"a long string of 22 b\"", ",", kTextBytes) + "]",
        "[" + Repeated("1e999", ",", kTextBytes) + "]", "{" + keys + "}"}) {
    const testing::HeapMeter heap;
    try {
      json::ParseSharedDocument(text, "sample");
    } catch (const ParseError&) {
      // It has too many values.
    }
    EXPECT_LE(heap.PeakBytes(), kMaxPeakBytes) << text.substr(0, 20);
  }
}

}  // namespace
}  // namespace amaranthlane::platform
