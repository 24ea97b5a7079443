#include "platform/store_stand_in.h"

#include <chrono>

#include "net/free_port.h"
#include "net/http_message.h"

namespace amaranthlane::platform {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kNotFound = 404;
constexpr unsigned kConflict = 409;
constexpr unsigned kGone = 410;
constexpr unsigned kServiceUnavailable = 503;

}  // namespace

StoreStandIn::StoreStandIn(boost::asio::io_context& loop)
    : timer(loop),
      address({"127.0.0.1", testing::FreePort()}),
      server(loop, this->address, {},
             [this](const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer) {
               this->Serve(request, answer);
             }) {
  this->server.Start();
  this->EndWatches();
}

void StoreStandIn::EndWatches() {
  this->AnswerWatches();
  this->timer.expires_after(std::chrono::milliseconds(20));
  this->timer.async_wait([this](boost::system::error_code error) {
    if (!error) {
      this->EndWatches();
    }
  });
}

const net::Address& StoreStandIn::Address() const { return this->address; }

void StoreStandIn::Put(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
  ++this->content.revision;
  nlohmann::json object = {{"meta", {{"name", name}, {"revision", this->content.revision}}}, {"spec", spec}};
  this->history.emplace_back(this->content.revision, kind, nlohmann::json{{"object", object}, {"deleted", false}});
  this->content.objects[{kind, name}] = std::move(object);
  this->AnswerWatches();
}

void StoreStandIn::Delete(const std::string& kind, const std::string& name) {
  const auto found = this->content.objects.find({kind, name});
  found->second["meta"]["revision"] = ++this->content.revision;
  this->history.emplace_back(this->content.revision, kind,
                             nlohmann::json{{"object", found->second}, {"deleted", true}});
  this->content.objects.erase(found);
  this->AnswerWatches();
}

void StoreStandIn::Restore(const Content& copy) {
  ++this->era;
  this->content = copy;
  this->history.clear();
  this->first_watchable = copy.revision;
  for (const PendingWatch& watch : std::exchange(this->watches, {})) {
    watch.answer(this->Respond(kServiceUnavailable, nlohmann::json::object()));
  }
}

net::HttpResponse StoreStandIn::Respond(unsigned status, const nlohmann::json& body) const {
  net::HttpResponse response;
  response.status = status;
  response.headers = {{"Store-Era", std::to_string(this->era)}};
  response.body = body.dump();
  return response;
}

void StoreStandIn::Serve(const net::HttpRequest& request, const net::HttpServer::ResponseCallback& answer) {
  if (this->before_request) {
    this->before_request();
  }
  this->requests.push_back(request.method + " " + request.target);
  const std::vector<std::string> path = net::PathSegments(net::TargetPath(request.target));
  const std::string watch = net::QueryParameter(request.target, "watch");
  if (!watch.empty()) {
    const std::chrono::milliseconds wait(std::stoull(net::QueryParameter(request.target, "wait_ms")));
    this->watches.push_back({path.at(1), std::stoull(watch), BootClock::now() + wait, answer});
    this->AnswerWatches();
  } else {
    answer(request.method == "GET" ? this->Read(path) : this->Write(request, path));
  }
}

net::HttpResponse StoreStandIn::Read(const std::vector<std::string>& path) const {
  const std::string& kind = path.at(1);
  if (path.size() > 2) {
    const auto found = this->content.objects.find({kind, path[2]});
    return found == this->content.objects.end() ? this->Respond(kNotFound, nlohmann::json::object())
                                                : this->Respond(kOk, found->second);
  }
  nlohmann::json items = nlohmann::json::array();
  for (const auto& [key, object] : this->content.objects) {
    if (key.first == kind) {
      items.push_back(object);
    }
  }
  return this->Respond(kOk, {{"items", items}, {"has_more", false}, {"as_of_rev", this->content.revision}});
}

net::HttpResponse StoreStandIn::Write(const net::HttpRequest& request, const std::vector<std::string>& path) {
  const nlohmann::json body = nlohmann::json::parse(request.body);
  const std::string name = body.at("meta").at("name");
  const auto found = this->content.objects.find({path.at(1), name});
  const bool exists = found != this->content.objects.end();
  const nlohmann::json current = exists ? found->second.at("meta").at("revision") : nlohmann::json();
  if (request.method == "POST" ? exists : current != body.at("meta").value("revision", nlohmann::json())) {
    return this->Respond(kConflict, exists ? found->second : nlohmann::json::object());
  }
  this->Put(path.at(1), name, body.at("spec"));
  return this->Respond(kOk, this->content.objects.at({path.at(1), name}));
}

void StoreStandIn::AnswerWatches() {
  for (const PendingWatch& watch : std::exchange(this->watches, {})) {
    nlohmann::json events = nlohmann::json::array();
    for (const auto& [revision, kind, event] : this->history) {
      if (kind == watch.kind && revision > watch.since) {
        events.push_back(event);
      }
    }
    if (watch.since > this->content.revision || watch.since < this->first_watchable) {
      watch.answer(this->Respond(kGone, nlohmann::json::object()));
    } else if (events.empty() && BootClock::now() < watch.end) {
      this->watches.push_back(watch);
    } else {
      watch.answer(this->Respond(kOk, {{"events", events}, {"as_of_rev", this->content.revision}}));
    }
  }
}

}  // namespace amaranthlane::platform
