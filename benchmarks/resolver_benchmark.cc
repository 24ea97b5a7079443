#include <benchmark/benchmark.h>

#include <array>
#include <string>

#include "common/sha256.h"
#include "core/configuration/requirements_resolver.h"

namespace amaranthlane::configuration {
namespace {

constexpr int kSelectorCount = 100;
constexpr std::size_t kCallerCount = 64;

ObjectStore MakeStore() {
  ObjectStore store;
  ObjectVersion version = 0;
  for (int i = 0; i < kSelectorCount; ++i) {
    const std::string value = "kind-" + std::to_string(i);
    store.Apply({kSelectorsKind,
                 "selector-" + std::to_string(i),
                 ++version,
                 false,
                 {{"match", nlohmann::json::array({{{"key", "kind.name"}, {"equals", value}}})},
                  {"owes", {{"rank", "urgent"}}}}});
  }
  return store;
}

// Lookup of cached results, over several callers.
void ResolveCached(benchmark::State& state) {
  const ObjectStore store = MakeStore();
  RequirementsResolver resolver;
  resolver.Refresh(store);
  std::array<std::string, kCallerCount> callers;
  for (std::size_t i = 0; i < kCallerCount; ++i) {
    callers.at(i) = "dealer-of-the-east-" + std::to_string(i);
  }
  std::size_t next = 0;
  for (auto iteration : state) {
    const std::string& caller = callers.at(next++ % kCallerCount);
    benchmark::DoNotOptimize(resolver.Resolve({caller, "wrap-register-1", "lodgement", AccessMode::kWrite}));
  }
}
BENCHMARK(ResolveCached);

// Matches all selectors, as after each configuration change.
void ResolveUncached(benchmark::State& state) {
  ObjectStore store = MakeStore();
  RequirementsResolver resolver;
  ObjectVersion version = 1000;
  for (auto iteration : state) {
    state.PauseTiming();
    store.Apply({kSelectorsKind, "selector-0", ++version, true, nullptr});
    resolver.Refresh(store);
    state.ResumeTiming();
    benchmark::DoNotOptimize(resolver.Resolve({"dealer", "wrap-register-1", "lodgement", AccessMode::kWrite}));
  }
}
BENCHMARK(ResolveUncached)->Iterations(1000);

void HashBearerKey(benchmark::State& state) {
  const std::string key(40, 'k');
  for (auto iteration : state) {
    benchmark::DoNotOptimize(Sha256(key));
  }
}
BENCHMARK(HashBearerKey);

// The cost of updating one object in the store of a large fleet and computing the digest.
void DigestOfLargeStore(benchmark::State& state) {
  ObjectStore store;
  for (int i = 0; i < 2500; ++i) {
    store.Apply({kLeadershipKind, "group-" + std::to_string(i), static_cast<ObjectVersion>(i + 1), false, {{"v", i}}});
  }
  ObjectVersion version = 10000;
  for (auto iteration : state) {
    store.Apply({kLeadershipKind, "group-7", ++version, false, {{"v", 1}}});
    benchmark::DoNotOptimize(store.Digest());
  }
}
BENCHMARK(DigestOfLargeStore);

}  // namespace
}  // namespace amaranthlane::configuration
