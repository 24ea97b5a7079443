#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "net/free_port.h"
#include "net/http_server.h"
#include "platform/store_client.h"

namespace amaranthlane::platform {
namespace {

using std::chrono::milliseconds;

constexpr unsigned kGone = 410;
constexpr unsigned kServiceUnavailable = 503;

// Runs a watcher against an HTTP server that answers lists and watches like the store, for one kind of object.
class ObjectWatcherTest : public ::testing::Test {
 protected:
  ObjectWatcherTest()
      : address({"127.0.0.1", testing::FreePort()}),
        server(this->loop, this->address, {},
               [this](const net::HttpRequest& request, net::HttpServer::ResponseCallback answer) {
                 this->Serve(request, std::move(answer));
               }),
        watcher(this->loop, this->address, "things", [this](const ObjectSnapshot& snapshot) {
          this->received = snapshot.objects;
          this->as_of_revision = snapshot.as_of_revision;
        }) {
    this->server.Start();
  }

  void Serve(const net::HttpRequest& request, net::HttpServer::ResponseCallback answer) {
    net::HttpResponse response;
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
      }
      const bool has_more = this->two_pages && this->lists == 1;
      if (this->two_pages) {
        items = {items.at(has_more ? 0 : 1)};
      }
      response.body = nlohmann::json({{"items", items}, {"has_more", has_more}, {"as_of_rev", this->revision}}).dump();
      answer(response);
      if (has_more) {
        this->Put("a");
      }
      return;
    }
    ++this->watches;
    this->pending_watch = std::move(answer);
    if (request.target.find("watch=" + std::to_string(this->revision)) == std::string::npos) {
      this->AnswerWatch();
    }
  }

  static nlohmann::json ObjectJson(const std::string& name, ObjectVersion revision) {
    return {{"meta", {{"name", name}, {"revision", revision}}}, {"spec", {{"value", revision}}}};
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
    if (this->history_gone) {
      this->history_gone = false;
      response.status = kGone;
    } else {
      nlohmann::json sent_events = nlohmann::json::array();
      for (const nlohmann::json& event : this->events) {
        sent_events.push_back(event);
      }
      response.body = nlohmann::json({{"events", sent_events}, {"as_of_rev", this->revision}}).dump();
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
  net::HttpServer::ResponseCallback pending_watch;
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
