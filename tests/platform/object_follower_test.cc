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
constexpr unsigned kUnavailable = 503;

// A store of one kind of objects, which answers lists and watches.
class ObjectFollowerTest : public ::testing::Test {
 protected:
  ObjectFollowerTest()
      : address({"127.0.0.1", testing::FreePort()}),
        server(this->loop, this->address, {},
               [this](const net::HttpRequest& request, net::HttpServer::ResponseCallback answer) {
                 this->Serve(request, std::move(answer));
               }),
        follower(this->loop, this->address, "things",
                 [this](const std::map<std::string, StoredObject>& objects, ObjectVersion as_of) {
                   this->known = objects;
                   this->as_of = as_of;
                 }) {
    this->server.Start();
  }

  void Serve(const net::HttpRequest& request, net::HttpServer::ResponseCallback answer) {
    net::HttpResponse response;
    if (this->refusing) {
      response.status = kUnavailable;
      answer(response);
      return;
    }
    if (request.target.find("watch=") == std::string::npos) {
      ++this->lists;
      nlohmann::json items = nlohmann::json::array();
      for (const auto& [name, revision] : this->objects) {
        items.push_back(Object(name, revision));
      }
      response.body = nlohmann::json({{"items", items}, {"has_more", false}, {"as_of_rev", this->revision}}).dump();
      answer(response);
      return;
    }
    ++this->watches;
    this->waiting = std::move(answer);
    if (request.target.find("watch=" + std::to_string(this->revision)) == std::string::npos) {
      this->Flush();
    }
  }

  static nlohmann::json Object(const std::string& name, ObjectVersion revision) {
    return {{"meta", {{"name", name}, {"revision", revision}}}, {"spec", {{"value", revision}}}};
  }

  // The store changes an object, and tells a watch that waits.
  void Put(const std::string& name) {
    this->objects[name] = ++this->revision;
    this->events.push_back({{"object", Object(name, this->revision)}, {"deleted", false}});
    this->Flush();
  }

  void Flush() {
    if (!this->waiting) {
      return;
    }
    net::HttpResponse response;
    if (this->history_gone) {
      this->history_gone = false;
      response.status = kGone;
    } else {
      nlohmann::json told = nlohmann::json::array();
      for (const nlohmann::json& event : this->events) {
        told.push_back(event);
      }
      response.body = nlohmann::json({{"events", told}, {"as_of_rev", this->revision}}).dump();
    }
    std::exchange(this->waiting, nullptr)(response);
  }

  bool RunUntil(const std::function<bool()>& done, milliseconds most = milliseconds(8000)) {
    const TimePoint end = BootClock::now() + most;
    bool reached = done();
    while (!reached && BootClock::now() < end) {
      this->loop.restart();
      this->loop.run_for(milliseconds(5));
      reached = done();
    }
    return reached;
  }

  boost::asio::io_context loop;
  net::Address address;
  std::map<std::string, ObjectVersion> objects = {{"a", 1}, {"b", 2}};
  ObjectVersion revision = 2;
  std::deque<nlohmann::json> events;
  net::HttpServer::ResponseCallback waiting;
  bool refusing = false;
  bool history_gone = false;
  int lists = 0;
  int watches = 0;
  std::map<std::string, StoredObject> known;
  ObjectVersion as_of = 0;
  net::HttpServer server;
  ObjectFollower follower;
};

TEST_F(ObjectFollowerTest, ListsThenWatches) {
  this->follower.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  EXPECT_EQ(this->known.size(), 2U);
  this->Put("c");
  EXPECT_TRUE(this->RunUntil([this] { return this->known.count("c") > 0; }));
  EXPECT_EQ(this->as_of, 3U);
  EXPECT_EQ(this->lists, 1);
}

TEST_F(ObjectFollowerTest, ListsAnewWhenTheHistoryIsGone) {
  this->follower.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  this->history_gone = true;
  this->objects.erase("a");
  this->Flush();
  EXPECT_TRUE(this->RunUntil([this] { return this->lists == 2 && this->known.count("a") == 0; }));
}

TEST_F(ObjectFollowerTest, GoesOnWhenTheStoreAnswersAgain) {
  this->refusing = true;
  this->follower.Refresh();
  this->RunUntil([] { return false; }, milliseconds(600));
  EXPECT_TRUE(this->known.empty());
  this->refusing = false;
  EXPECT_TRUE(this->RunUntil([this] { return this->known.size() == 2; }));
}

// A watch whose connection went silent is given up, and nothing is missed.
TEST_F(ObjectFollowerTest, NoticesASilentWatch) {
  this->follower.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->watches == 1; }));
  const net::HttpServer::ResponseCallback never_called = std::exchange(this->waiting, nullptr);
  this->Put("c");
  EXPECT_TRUE(this->RunUntil([this] { return this->known.count("c") > 0; }));
}

TEST_F(ObjectFollowerTest, LeavesTheStoreAloneUntilItIsToWatchAgain) {
  this->follower.SetWatching(false);
  this->follower.Refresh();
  ASSERT_TRUE(this->RunUntil([this] { return this->known.size() == 2; }));
  this->Put("c");
  this->RunUntil([] { return false; }, milliseconds(300));
  EXPECT_EQ(this->watches, 0);
  this->follower.SetWatching(true);
  EXPECT_TRUE(this->RunUntil([this] { return this->known.count("c") > 0; }));
  EXPECT_EQ(this->lists, 1);
  this->follower.SetWatching(false);
  this->Put("d");
  this->RunUntil([] { return false; }, milliseconds(300));
  EXPECT_EQ(this->known.count("d"), 0U);
}

TEST_F(ObjectFollowerTest, AListThatIsUnderWayIsFinishedWithoutWatching) {
  this->refusing = true;
  this->follower.Refresh();
  this->RunUntil([] { return false; }, milliseconds(100));
  this->follower.SetWatching(false);
  this->refusing = false;
  EXPECT_TRUE(this->RunUntil([this] { return this->known.size() == 2; }));
  this->RunUntil([] { return false; }, milliseconds(200));
  EXPECT_EQ(this->watches, 0);
}

}  // namespace
}  // namespace amaranthlane::platform
