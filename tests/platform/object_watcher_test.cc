#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "net/free_port.h"
#include "net/http_server.h"
#include "platform/store_client.h"

namespace amaranthlane::platform {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kGone = 410;
constexpr unsigned kServiceUnavailable = 503;
// Stands in a response for the spec of an object that another writer left, followed by the object's name.
constexpr char kForeignSpec[] = "foreign spec of ";

std::string Repeated(const std::string& text, std::size_t count) {
  std::string repeated;
  for (std::size_t i = 0; i < count; ++i) {
    repeated += text;
  }
  return repeated;
}

// What another writer may leave as a spec: each is one that a parser rejects or can't hold.
std::vector<std::pair<std::string, std::string>> UnreadableSpecs() {
  // Half a megabyte, as large as a value of the store may be.
  constexpr std::size_t kDepth = 250000;
  return {{"nested arrays", Repeated("[", kDepth) + Repeated("]", kDepth)},
          {"nested objects", Repeated("{\"a\":", kDepth / 3) + "1" + Repeated("}", kDepth / 3)},
          {"nested in a member", R"({"service":"g","extra":)" + Repeated("[", kDepth) + Repeated("]", kDepth) + "}"},
          {"number beyond a double", R"({"slots":1e999})"},
          {"infinity", R"({"slots":-Infinity})"},
          {"lone surrogate", R"({"zone":"\ud800"})"},
          {"bytes that are not UTF-8", "{\"zone\":\"\xc3\x28\"}"}};
}

// Runs a watcher against an HTTP server that answers lists and watches like the store, for one kind of object.
class ObjectWatcherTest : public ::testing::Test {
 protected:
  ObjectWatcherTest()
      : address({"127.0.0.1", testing::FreePort()}),
        server(this->loop, this->address, {},
               [this](const net::HttpRequest& request, net::HttpServer::ResponseCallback answer) {
                 this->Serve(request, std::move(answer));
               }),
        watcher(this->loop, this->address, ObjectKind{"things", json::Whole()}, [this](const ObjectSnapshot& snapshot) {
          this->received = snapshot.objects;
          this->as_of_revision = snapshot.as_of.revision;
        }) {
    this->server.Start();
  }

  void Serve(const net::HttpRequest& request, net::HttpServer::ResponseCallback answer) {
    net::HttpResponse response;
    response.headers = this->EraHeader();
    if (this->unavailable) {
      response.status = kServiceUnavailable;
      answer(response);
      return;
    }
    if (request.target.find("watch=") == std::string::npos) {
      ++this->lists;
      nlohmann::json items = nlohmann::json::array();
      for (const auto& [name, revision] : this->objects) {
        items.push_back(ObjectJson(name, revision));
        if (this->foreign_specs.count(name) > 0) {
          items.back()["spec"] = kForeignSpec + name;
        }
      }
      const bool has_more = this->two_pages && request.target.find("after=") == std::string::npos;
      if (this->two_pages) {
        items = {items.at(has_more ? 0 : 1)};
      }
      response.body =
          this->Text(nlohmann::json({{"items", items}, {"has_more", has_more}, {"as_of_rev", this->revision}}));
      answer(response);
      if (has_more && std::exchange(this->restored_between_pages, false)) {
        this->Restore({{"a", 1}, {"c", 2}}, 2);
      } else if (has_more && this->lists == 1) {
        this->Put("a");
      }
      return;
    }
    ++this->watches;
    this->pending_watch = std::move(answer);
    this->watched_revision = std::stoull(net::QueryParameter(request.target, "watch"));
    if (this->watched_revision != this->revision) {
      this->AnswerWatch();
    }
  }

  std::vector<net::HttpHeader> EraHeader() const { return {{"Store-Era", std::to_string(this->era)}}; }

  // The store comes back from an older copy with these objects, and forgets what came after. A watch that is waiting is
  // cut off.
  void Restore(const std::map<std::string, ObjectVersion>& copy, ObjectVersion copied_revision) {
    ++this->era;
    this->objects = copy;
    this->revision = copied_revision;
    this->events.clear();
    if (this->pending_watch) {
      net::HttpResponse response;
      response.status = kServiceUnavailable;
      std::exchange(this->pending_watch, nullptr)(response);
    }
  }

  static nlohmann::json ObjectJson(const std::string& name, ObjectVersion revision) {
    return {{"meta", {{"name", name}, {"revision", revision}}}, {"spec", {{"value", revision}}}};
  }

  // The document's text, in which each spec that another writer left is spelled as that writer did.
  std::string Text(const nlohmann::json& document) const {
    std::string text = document.dump();
    for (const auto& [name, spec] : this->foreign_specs) {
      const std::string placeholder = "\"" + std::string(kForeignSpec) + name + "\"";
      for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder)) {
        text.replace(at, placeholder.size(), spec);
      }
    }
    return text;
  }

  // Changes an object in the store to one whose spec has this text, and answers the pending watch.
  void PutForeign(const std::string& name, const std::string& spec) {
    this->foreign_specs[name] = spec;
    this->objects[name] = ++this->revision;
    nlohmann::json object = ObjectJson(name, this->revision);
    object["spec"] = kForeignSpec + name;
    this->events.push_back({{"object", object}, {"deleted", false}});
    this->AnswerWatch();
  }

  // Changes an object in the store and answers the pending watch.
  void Put(const std::string& name) {
    this->objects[name] = ++this->revision;
    this->events.push_back({{"object", ObjectJson(name, this->revision)}, {"deleted", false}});
    this->AnswerWatch();
  }

  void AnswerWatch() {
    if (!this->pending_watch) {
      return;
    }
    net::HttpResponse response;
    response.headers = this->EraHeader();
    if (this->history_gone || this->watched_revision > this->revision) {
      this->history_gone = false;
      response.status = kGone;
    } else {
      nlohmann::json sent_events = nlohmann::json::array();
      for (const nlohmann::json& event : this->events) {
        if (event.at("object").at("meta").at("revision") > this->watched_revision) {
          sent_events.push_back(event);
        }
      }
      response.body = this->Text(nlohmann::json({{"events", sent_events}, {"as_of_rev", this->revision}}));
    }
    std::exchange(this->pending_watch, nullptr)(response);
  }

  bool RunUntil(const std::function<bool()>& done, milliseconds timeout = milliseconds(8000)) {
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
  net::Address address;
  std::map<std::string, ObjectVersion> objects = {{"a", 1}, {"b", 2}};
  ObjectVersion revision = 2;
  std::deque<nlohmann::json> events;
  // The text of the specs that another writer left, by the object's name.
  std::map<std::string, std::string> foreign_specs;
  net::HttpServer::ResponseCallback pending_watch;
  ObjectVersion watched_revision = 0;
  std::uint64_t era = 1;
  bool restored_between_pages = false;
  bool unavailable = false;
  bool history_gone = false;
  int lists = 0;
  // The first list has a page for each object, and "a" changes after its page was read.
  bool two_pages = false;
  int watches = 0;
  std::map<std::string, StoredObject> received;
  ObjectVersion as_of_revision = 0;
  net::HttpServer server;
  ObjectWatcher watcher;
};

TEST_F(ObjectWatcherTest, ListsThenWatches) {
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  EXPECT_EQ(this->received.size(), 2U);
  this->Put("c");
  EXPECT_TRUE(this->RunUntil([this] { return this->received.count("c") > 0; }));
  EXPECT_EQ(this->as_of_revision, 3U);
  EXPECT_EQ(this->lists, 1);
}

TEST_F(ObjectWatcherTest, ListsAgainWhenTheHistoryIsGone) {
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  this->history_gone = true;
  this->objects.erase("a");
  this->AnswerWatch();
  EXPECT_TRUE(this->RunUntil([this] { return this->lists == 2 && this->received.count("a") == 0; }));
}

TEST_F(ObjectWatcherTest, ResumesWhenTheStoreRecovers) {
  this->unavailable = true;
  this->watcher.Refresh();
  this->RunUntil([] { return false; }, milliseconds(600));
  EXPECT_TRUE(this->received.empty());
  this->unavailable = false;
  EXPECT_TRUE(this->RunUntil([this] { return this->received.size() == 2; }));
}

// A watch whose connection went silent is abandoned after its timeout, and the next watch delivers the change.
TEST_F(ObjectWatcherTest, ReopensAWatchThatGetsNoResponse) {
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  const net::HttpServer::ResponseCallback unanswered = std::exchange(this->pending_watch, nullptr);
  this->Put("c");
  EXPECT_TRUE(this->RunUntil([this] { return this->received.count("c") > 0; }));
}

// Guards against a watch that is waited for so long that a configuration can't be in force in time.
TEST_F(ObjectWatcherTest, SeesAChangeWithinTwoSecondsThoughTheWatchIsSilent) {
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  const net::HttpServer::ResponseCallback unanswered = std::exchange(this->pending_watch, nullptr);
  this->Put("c");
  EXPECT_TRUE(this->RunUntil([this] { return this->received.count("c") > 0; }, milliseconds(2000)));
}

TEST_F(ObjectWatcherTest, SendsNoWatchWhileWatchingIsDisabled) {
  this->watcher.SetWatching(false);
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->received.size() == 2; }));
  this->Put("c");
  this->RunUntil([] { return false; }, milliseconds(300));
  EXPECT_EQ(this->watches, 0);
  this->watcher.SetWatching(true);
  EXPECT_TRUE(this->RunUntil([this] { return this->received.count("c") > 0; }));
  EXPECT_EQ(this->lists, 1);
  this->watcher.SetWatching(false);
  this->Put("d");
  this->RunUntil([] { return false; }, milliseconds(300));
  EXPECT_EQ(this->received.count("d"), 0U);
}

TEST_F(ObjectWatcherTest, AFailedListIsNotRepeatedWhileWatchingIsDisabled) {
  this->watcher.SetWatching(false);
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->received.size() == 2; }));
  this->unavailable = true;
  this->watcher.Refresh();
  this->RunUntil([] { return false; }, milliseconds(300));
  this->unavailable = false;
  this->RunUntil([] { return false; }, milliseconds(500));
  EXPECT_EQ(this->lists, 1);
  this->watcher.Refresh();
  EXPECT_TRUE(this->RunUntil([this] { return this->lists == 2; }));
}

// Guards against a change of an object on an earlier page of a list that the watch then begins after.
TEST_F(ObjectWatcherTest, WatchesFromTheRevisionOfTheFirstPage) {
  this->two_pages = true;
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->received.count("b") > 0; }));
  EXPECT_TRUE(this->RunUntil([this] { return this->received.at("a").revision == 3; }, milliseconds(2000)));
}

// Guards against a copy that misses changes whose revisions the restored store gave out again.
TEST_F(ObjectWatcherTest, ListsAgainWhenTheStoreWasRestored) {
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  this->Put("lost");
  ASSERT_TRUE(this->RunUntil([this] { return this->received.count("lost") > 0 && this->pending_watch; }));
  this->Restore({{"a", 1}, {"b", 2}}, 2);
  this->objects["c"] = ++this->revision;
  this->Put("d");
  EXPECT_TRUE(this->RunUntil([this] { return this->received.count("d") > 0; }, milliseconds(2000)));
  EXPECT_EQ(this->received.count("c"), 1U);
  EXPECT_EQ(this->received.count("lost"), 0U);
}

// The same when the restored store has reached just the revision that the watch begins at.
TEST_F(ObjectWatcherTest, ListsAgainThoughTheRestoredStoreHasTheKnownRevision) {
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  this->Put("lost");
  ASSERT_TRUE(this->RunUntil([this] { return this->received.count("lost") > 0 && this->pending_watch; }));
  this->Restore({{"a", 1}, {"b", 2}}, 2);
  this->objects["c"] = ++this->revision;
  this->RunUntil([this] { return this->pending_watch != nullptr; }, milliseconds(1000));
  this->AnswerWatch();
  EXPECT_TRUE(this->RunUntil([this] { return this->received.count("c") > 0; }, milliseconds(2000)));
  EXPECT_EQ(this->received.count("lost"), 0U);
}

// Guards against a copy that is put together from pages of two eras.
TEST_F(ObjectWatcherTest, ListsFromTheFirstPageWhenTheStoreIsRestoredBetweenPages) {
  this->two_pages = true;
  this->restored_between_pages = true;
  this->watcher.Refresh();
  EXPECT_TRUE(this->RunUntil([this] { return this->lists == 4; }, milliseconds(2000)));
  EXPECT_TRUE(this->RunUntil([this] { return this->received.size() == 2; }, milliseconds(2000)));
  EXPECT_EQ(this->received.count("b"), 0U);
}

// One entry that another writer left must neither end the process nor hide the other entries.
TEST_F(ObjectWatcherTest, ListsTheOthersBesideAnUnreadableEntry) {
  for (const auto& [description, spec] : UnreadableSpecs()) {
    this->foreign_specs["odd"] = spec;
    this->objects["odd"] = ++this->revision;
    this->received.clear();
    this->watcher.Refresh();
    EXPECT_TRUE(this->RunUntil([this] { return this->received.count("b") > 0; }, milliseconds(2000))) << description;
  }
}

TEST_F(ObjectWatcherTest, FollowsTheOthersAfterAnUnreadableEntry) {
  this->watcher.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  for (const auto& [description, spec] : UnreadableSpecs()) {
    this->PutForeign("odd", spec);
    this->Put("c");
    EXPECT_TRUE(this->RunUntil([this] { return this->as_of_revision == this->revision; }, milliseconds(2500)))
        << description;
  }
  EXPECT_EQ(this->lists, 1);
  this->foreign_specs.clear();
  this->Put("odd");
  EXPECT_TRUE(this->RunUntil([this] { return this->received.at("odd").spec.contains("value"); }));
}

TEST_F(ObjectWatcherTest, FinishesAPendingListAfterWatchingIsDisabled) {
  this->unavailable = true;
  this->watcher.Refresh();
  this->RunUntil([] { return false; }, milliseconds(100));
  this->watcher.SetWatching(false);
  this->unavailable = false;
  EXPECT_TRUE(this->RunUntil([this] { return this->received.size() == 2; }));
  this->RunUntil([] { return false; }, milliseconds(200));
  EXPECT_EQ(this->watches, 0);
}

}  // namespace
}  // namespace amaranthlane::platform
