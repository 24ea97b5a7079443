#include "core/configuration/edit_system.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>
#include <set>

namespace amaranthlane::configuration {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{seconds(100)};

nlohmann::json Value(const std::string& rank) {
  return {{"match", nlohmann::json::array()}, {"owes", {{"rank", rank}}}};
}

EditSubmitted Submit(std::uint64_t id, const std::string& rank, std::optional<ObjectVersion> expected = std::nullopt) {
  return {id, {kSelectorsKind, "urgent", false, Value(rank), expected}, kStart + seconds(5)};
}

// Passes one event to the system and returns the single action that it causes.
template <typename Action>
Action ExpectAction(EditSystem& system, TimePoint now, const EditEvent& event) {
  const std::vector<EditAction> actions = system.Tick(now, std::vector{event});
  EXPECT_EQ(actions.size(), 1U);
  EXPECT_TRUE(!actions.empty() && std::holds_alternative<Action>(actions[0]));
  return std::get<Action>(actions.at(0));
}

PlatformObject Live(ObjectVersion version, nlohmann::json value) {
  return {kSelectorsKind, "urgent", version, false, std::move(value)};
}

TEST(EditSystemTest, AnInvalidValueIsRefusedBeforeAnythingIsSent) {
  EditSystem system("dub-a-1", 1);
  const EditEnded ended = ExpectAction<EditEnded>(system, kStart, Submit(1, "first"));
  EXPECT_EQ(std::get<EditInvalid>(ended.result).key, "rank");
}

// Guards against a name that no response can hold, as in a conflict with the current object.
TEST(EditSystemTest, ADeletionOfAnInvalidNameIsRefusedBeforeAnythingIsSent) {
  for (const std::string& name : {std::string("\xff"), std::string("a b"), std::string("a/b"), std::string()}) {
    EditSystem system("dub-a-1", 1);
    const EditSubmitted submitted{1, {kSelectorsKind, name, true, nullptr, 4}, kStart + seconds(5)};
    const EditEnded ended = ExpectAction<EditEnded>(system, kStart, submitted);
    EXPECT_EQ(std::get<EditInvalid>(ended.result).key, "name");
  }
}

TEST(EditSystemTest, AStaleVersionGivesAConflictWithBothObjects) {
  EditSystem system("dub-a-1", 1);
  ExpectAction<EditRead>(system, kStart, Submit(1, "urgent", 4));
  const EditEnded ended = ExpectAction<EditEnded>(system, kStart, EditReadSucceeded{1, Live(6, Value("bulk"))});
  const auto& conflict = std::get<EditConflict>(ended.result);
  EXPECT_EQ(conflict.request.value["owes"]["rank"], "urgent");
  EXPECT_EQ(conflict.current.value["owes"]["rank"], "bulk");
  EXPECT_EQ(conflict.effect, EditEffect::kNotApplied);
}

TEST(EditSystemTest, ALostResponseIsResolvedByTheUpdateId) {
  EditSystem system("dub-a-1", 1);
  ExpectAction<EditRead>(system, kStart, Submit(1, "urgent"));
  const EditWrite write = ExpectAction<EditWrite>(system, kStart, EditReadSucceeded{1, Live(6, Value("bulk"))});
  EXPECT_EQ(write.expected_version, 6U);
  ExpectAction<EditRead>(system, kStart, EditWriteFailed{1, /*sent=*/true});
  const EditEnded ended = ExpectAction<EditEnded>(system, kStart, EditReadSucceeded{1, Live(7, write.value)});
  EXPECT_EQ(std::get<EditApplied>(ended.result).object.version, 7U);
}

TEST(EditSystemTest, ALostUpdateIsRetriedWithTheSameExpectedVersion) {
  EditSystem system("dub-a-1", 1);
  ExpectAction<EditRead>(system, kStart, Submit(1, "urgent"));
  const EditEvent base = EditReadSucceeded{1, Live(6, Value("bulk"))};
  ExpectAction<EditWrite>(system, kStart, base);
  ExpectAction<EditRead>(system, kStart, EditWriteFailed{1, /*sent=*/true});
  EXPECT_EQ(ExpectAction<EditWrite>(system, kStart, base).expected_version, 6U);
}

TEST(EditSystemTest, AnEditReplacedAfterALostResponseIsReportedAsUnknown) {
  EditSystem system("dub-a-1", 1);
  ExpectAction<EditRead>(system, kStart, Submit(1, "urgent"));
  ExpectAction<EditWrite>(system, kStart, EditReadSucceeded{1, Live(6, Value("bulk"))});
  ExpectAction<EditRead>(system, kStart, EditWriteFailed{1, /*sent=*/true});
  const EditEnded ended = ExpectAction<EditEnded>(system, kStart, EditReadSucceeded{1, Live(9, Value("normal"))});
  EXPECT_EQ(std::get<EditConflict>(ended.result).effect, EditEffect::kUnknown);
}

TEST(EditSystemTest, ACreationWhoseResponseWasLostIsNeverSentTwice) {
  EditSystem system("dub-a-1", 1);
  const PlatformObject none{kSelectorsKind, "urgent", 0, true, nullptr};
  ExpectAction<EditRead>(system, kStart, Submit(1, "urgent"));
  ExpectAction<EditWrite>(system, kStart, EditReadSucceeded{1, none});
  ExpectAction<EditRead>(system, kStart, EditWriteFailed{1, /*sent=*/true});
  EXPECT_TRUE(system.Tick(kStart, std::vector<EditEvent>{EditReadSucceeded{1, none}}).empty());
  EXPECT_TRUE(std::holds_alternative<EditRead>(system.Tick(system.NextDeadline(), {}).at(0)));
}

TEST(EditSystemTest, ATimedOutEditReportsWhetherItMayHaveTakenEffect) {
  EditSystem system("dub-a-1", 1);
  ExpectAction<EditRead>(system, kStart, Submit(1, "urgent"));
  ExpectAction<EditRead>(system, kStart, Submit(2, "urgent"));
  ExpectAction<EditWrite>(system, kStart, EditReadSucceeded{2, Live(6, Value("bulk"))});
  const std::vector<EditAction> finished_edits = system.Tick(kStart + seconds(5), {});
  ASSERT_EQ(finished_edits.size(), 2U);
  EXPECT_EQ(std::get<EditTimedOut>(std::get<EditEnded>(finished_edits[0]).result).effect, EditEffect::kNotApplied);
  EXPECT_EQ(std::get<EditTimedOut>(std::get<EditEnded>(finished_edits[1]).result).effect, EditEffect::kUnknown);
  EXPECT_EQ(system.NextDeadline(), kNever);
}

TEST(EditSystemTest, AnOperatorMayNotChangeTheTerm) {
  EditSystem system("dub-a-1", 1);
  const nlohmann::json group = nlohmann::json::parse(
      R"({"group":"g","region":"r","term":3,"primary":"e","slots":5,"connections":35,
          "instances":[{"endpoint":"e","address":"127.0.0.1:1","data_centre":"d"}]})");
  nlohmann::json request = group;
  request["term"] = 4U;
  ExpectAction<EditRead>(system, kStart, EditSubmitted{1, {kDatabaseGroupsKind, "g", false, request, {}}, kNever});
  const PlatformObject base{kDatabaseGroupsKind, "g", 5, false, group};
  const EditEnded ended = ExpectAction<EditEnded>(system, kStart, EditReadSucceeded{1, base});
  EXPECT_EQ(std::get<EditInvalid>(ended.result).key, "term");
}

// A platform with one object that counts how often each update was applied. ConcurrentEdits loses and delays its
// messages.
struct LossyPlatform {
  PlatformObject object{kSelectorsKind, "urgent", 0, true, nullptr};
  std::multiset<std::string> applied;

  EditEvent Write(const EditWrite& write) {
    const ObjectVersion version = this->object.deleted ? 0 : this->object.version;
    if (write.expected_version != version) {
      return EditWriteConflicted{write.edit_id, this->object};
    }
    this->object.version += 1;
    this->object.deleted = write.remove;
    this->object.value = write.value;
    if (!write.remove) {
      this->applied.insert(write.value["update_id"]);
    }
    return EditWriteSucceeded{write.edit_id, this->object.version};
  }
};

// A message that has not been delivered yet.
struct MessageInFlight {
  std::size_t system = 0;
  EditAction action;
};

class ConcurrentEdits {
 public:
  explicit ConcurrentEdits(std::uint64_t seed) : generator(seed) {}

  void Run() {
    for (std::uint64_t id = 0; id < 12; ++id) {
      EditSubmitted submit = Submit(id, "urgent");
      submit.request.remove = this->Chance(30);
      this->Feed(id % 2, submit);
      const std::uint64_t steps = this->generator() % 12;
      for (std::uint64_t i = 0; i < steps; ++i) {
        this->Deliver();
      }
    }
    while (!this->messages.empty() || this->now < kStart + seconds(30)) {
      this->now += milliseconds(100);
      this->Deliver();
      this->Feed(0, std::nullopt);
      this->Feed(1, std::nullopt);
    }
  }

  std::vector<EditEnded> ended;
  std::map<std::uint64_t, std::string> update_ids;
  LossyPlatform platform;

 private:
  bool Chance(std::uint64_t percent) { return this->generator() % 100 < percent; }

  void Feed(std::size_t system, const std::optional<EditEvent>& event) {
    const std::vector<EditEvent> events = event ? std::vector{*event} : std::vector<EditEvent>{};
    for (const EditAction& action : this->systems[system].Tick(this->now, events)) {
      if (const auto* end = std::get_if<EditEnded>(&action)) {
        this->ended.push_back(*end);
      } else {
        this->messages.push_back({system, action});
      }
      const auto* write = std::get_if<EditWrite>(&action);
      if (write != nullptr && !write->remove) {
        this->update_ids[write->edit_id] = write->value["update_id"];
      }
    }
  }

  // Delivers a random message that is in flight, so that requests overtake each other.
  void Deliver() {
    if (this->messages.empty()) {
      return;
    }
    const std::size_t index = this->generator() % this->messages.size();
    const MessageInFlight message = this->messages[index];
    this->messages.erase(this->messages.begin() + static_cast<std::ptrdiff_t>(index));
    if (const auto* read = std::get_if<EditRead>(&message.action)) {
      const EditEvent response = EditReadSucceeded{read->edit_id, this->platform.object};
      this->Feed(message.system, this->Chance(20) ? EditEvent(EditReadFailed{read->edit_id}) : response);
    } else if (const auto* write = std::get_if<EditWrite>(&message.action)) {
      this->DeliverWrite(message, *write);
    }
  }

  void DeliverWrite(const MessageInFlight& message, const EditWrite& write) {
    if (this->Chance(15)) {
      this->Feed(message.system, EditWriteFailed{write.edit_id, /*sent=*/false});
    } else if (this->Chance(20)) {
      // The sender times out while the request is still in flight.
      this->messages.push_back(message);
      this->Feed(message.system, EditWriteFailed{write.edit_id, /*sent=*/true});
    } else {
      const EditEvent response = this->platform.Write(write);
      this->Feed(message.system, this->Chance(40) ? EditEvent(EditWriteFailed{write.edit_id, true}) : response);
    }
  }

  std::mt19937_64 generator;
  TimePoint now = kStart;
  std::vector<EditSystem> systems{EditSystem("dub-a-1", 1), EditSystem("dub-b-1", 1)};
  std::vector<MessageInFlight> messages;
};

RC_GTEST_PROP(EditSystemTest, ConcurrentEditsUnderLossApplyAtMostOnceAndReportTheirEffect, ()) {
  ConcurrentEdits concurrent_edits(*rc::gen::arbitrary<std::uint64_t>());
  concurrent_edits.Run();
  RC_ASSERT(concurrent_edits.ended.size() == 12U);
  for (const EditEnded& end : concurrent_edits.ended) {
    const std::size_t times = concurrent_edits.platform.applied.count(concurrent_edits.update_ids[end.edit_id]);
    RC_ASSERT(times <= 1U);
    const auto* applied = std::get_if<EditApplied>(&end.result);
    if (applied != nullptr && !applied->object.deleted) {
      RC_ASSERT(times == 1U);
    }
    const auto* conflict = std::get_if<EditConflict>(&end.result);
    const auto* timed_out = std::get_if<EditTimedOut>(&end.result);
    if ((conflict != nullptr && conflict->effect == EditEffect::kNotApplied) ||
        (timed_out != nullptr && timed_out->effect == EditEffect::kNotApplied)) {
      RC_ASSERT(times == 0U);
    }
  }
}

}  // namespace
}  // namespace amaranthlane::configuration
