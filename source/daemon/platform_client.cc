#include "daemon/platform_client.h"

#include <utility>

#include "common/error.h"
#include "common/json.h"
#include "common/list_reader.h"
#include "logging/log.h"

namespace amaranthlane::daemon {

namespace {

using Json = nlohmann::json;

constexpr std::chrono::seconds kCallTimeout{2};
constexpr std::chrono::seconds kWatchTimeoutMargin{2};
constexpr std::size_t kMaxPoolConnections = 4;
constexpr char kDocument[] = "platform reply";
constexpr char kObjects[] = "objects";
constexpr char kVms[] = "vms";
constexpr char kVersion[] = "version";
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 409;

std::string ObjectTarget(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + net::EncodePathSegment(kind) + "/" + net::EncodePathSegment(name);
}

membership::ListedVm ParseListedVm(const Json& value) {
  const json::ObjectReader reader(value, kDocument);
  membership::ListedVm vm;
  vm.vm = reader.String("vm");
  vm.data_centre = reader.String("data_centre");
  vm.region = reader.String("region");
  vm.address = reader.Address("address");
  vm.leaving = reader.String("state") == "leaving";
  return vm;
}

// Appends what `parse` reads from an element. An element that it rejects is left out, so that one invalid entry doesn't
// hide the others. `name_key` is the member that names an element in the log.
template <typename Element>
void ParseElement(const Json& element, Element (*parse)(const Json&), const char* name_key,
                  std::vector<Element>& parsed, PlatformReply& reply) {
  try {
    parsed.push_back(parse(element));
  } catch (const ParseError& failure) {
    ++reply.invalid_entries;
    const bool named = element.is_object() && element.contains(name_key) && element[name_key].is_string();
    logging::Write(logging::Level::kWarning, "ignoring an invalid entry of the platform's reply",
                   {{"entry", named ? element[name_key].get<std::string>() : std::string()}, {"why", failure.what()}});
  }
}

void ParseSuccess(const Json& body, PlatformReply& reply) {
  const json::ObjectReader reader(body, kDocument);
  reply.status = PlatformStatus::kDone;
  reply.version = reader.UnsignedOr(kVersion, 0);
  if (reader.Has("kind")) {
    reply.object = configuration::ParsePlatformObject(body);
  }
}

void ParseConflict(const Json& body, PlatformReply& reply) {
  const json::ObjectReader reader(body, kDocument);
  reply.object = configuration::ParsePlatformObject(reader.Object("current"));
  reply.version = reply.object.version;
  reply.status = PlatformStatus::kConflict;
}

PlatformReply ParseReply(const net::HttpResponse& response) {
  PlatformReply reply;
  const Json body = json::ParseSharedDocument(response.body, kDocument);
  if (response.status == kStatusOk) {
    ParseSuccess(body, reply);
  } else if (response.status == kStatusNotFound) {
    reply.status = PlatformStatus::kNotFound;
    reply.version = json::ObjectReader(body, kDocument).UnsignedOr("version", 0);
  } else if (response.status == kStatusConflict) {
    ParseConflict(body, reply);
  }
  return reply;
}

PlatformReply ToReply(const net::CallResult& result) {
  PlatformReply reply;
  if (result.status == net::CallStatus::kNotSent) {
    reply.status = PlatformStatus::kNotSent;
  }
  if (result.status != net::CallStatus::kAnswered) {
    return reply;
  }
  try {
    return ParseReply(result.response);
  } catch (const ParseError&) {
    // A malformed reply is treated like a missing one: the call may have taken effect.
    return PlatformReply{};
  }
}

json::Selection ListSelection() {
  return json::Members(
      {{kObjects, json::Elements(json::Whole())}, {kVms, json::Elements(json::Whole())}, {kVersion, {}}});
}

}  // namespace

// Reads the reply to a list or a watch as it arrives, entry by entry.
class PlatformClient::ListReply {
 public:
  ListReply()
      : reader(ListSelection(), kDocument,
               [this](std::string_view list, const Json& element) { this->ReadElement(list, element); }) {}

  void Append(std::string_view part) {
    try {
      if (this->readable) {
        this->reader.Append(part);
      }
    } catch (const ParseError&) {
      this->readable = false;
    }
  }

  PlatformReply Finish(const net::CallResult& result) {
    if (result.status != net::CallStatus::kAnswered || result.response.status != kStatusOk || !this->readable) {
      PlatformReply failed;
      failed.status = result.status == net::CallStatus::kNotSent ? PlatformStatus::kNotSent : PlatformStatus::kUnknown;
      return failed;
    }
    try {
      ParseSuccess(this->reader.Finish(), this->reply);
      return std::move(this->reply);
    } catch (const ParseError&) {
      return PlatformReply{};
    }
  }

 private:
  void ReadElement(std::string_view list, const Json& element) {
    if (list == kObjects) {
      ParseElement(element, configuration::ParsePlatformObject, "name", this->reply.objects, this->reply);
    } else {
      ParseElement(element, ParseListedVm, "vm", this->reply.vms, this->reply);
    }
  }

  PlatformReply reply;
  json::ListReader reader;
  bool readable = true;
};

PlatformClient::PlatformClient(boost::asio::io_context& loop, const net::Address& address, metrics::Registry& metrics,
                               ControlTraffic& traffic)
    : loop(loop),
      pool(loop, address, kMaxPoolConnections),
      traffic(traffic),
      reads(metrics.GetCounter("amaranthlane_platform_calls_total", "Calls to the platform.", {{"kind", "read"}})),
      writes(metrics.GetCounter("amaranthlane_platform_calls_total", "Calls to the platform.", {{"kind", "write"}})),
      watches(metrics.GetCounter("amaranthlane_platform_calls_total", "Calls to the platform.", {{"kind", "watch"}})),
      invalid_entries(metrics.GetCounter("amaranthlane_platform_invalid_entries_total",
                                         "Entries in the platform's replies that were ignored as invalid.")) {}

void PlatformClient::Get(const std::string& kind, const std::string& name, Callback callback) {
  ++this->reads.value;
  this->Call(net::HttpRequest{"GET", ObjectTarget(kind, name), {}, {}},
             [kind, name, callback = std::move(callback)](PlatformReply reply) {
               if (reply.status == PlatformStatus::kNotFound) {
                 reply.object = configuration::PlatformObject{kind, name, reply.version, true, nullptr};
               }
               callback(std::move(reply));
             });
}

void PlatformClient::List(const std::string& kind, Callback callback) {
  ++this->reads.value;
  this->CallForList(net::HttpRequest{"GET", "/v1/objects/" + net::EncodePathSegment(kind), {}, {}},
                    std::move(callback));
}

void PlatformClient::ListVms(Callback callback) {
  ++this->reads.value;
  this->CallForList(net::HttpRequest{"GET", "/v1/vms", {}, {}}, std::move(callback));
}

void PlatformClient::Put(const std::string& kind, const std::string& name, ObjectVersion expected_version,
                         const Json& value, Callback callback) {
  ++this->writes.value;
  const Json body{{"expected_version", expected_version}, {"value", value}};
  this->Call(net::HttpRequest{"PUT", ObjectTarget(kind, name), {}, body.dump()}, std::move(callback));
}

void PlatformClient::Delete(const std::string& kind, const std::string& name, ObjectVersion expected_version,
                            Callback callback) {
  ++this->writes.value;
  const std::string target = ObjectTarget(kind, name) + "?expected_version=" + std::to_string(expected_version);
  this->Call(net::HttpRequest{"DELETE", target, {}, {}}, std::move(callback));
}

void PlatformClient::Watch(const std::vector<std::string>& kinds, ObjectVersion after, std::chrono::milliseconds wait,
                           Callback callback) {
  ++this->watches.value;
  std::string joined;
  for (const std::string& kind : kinds) {
    joined += (joined.empty() ? "" : ",") + net::EncodePathSegment(kind);
  }
  const std::string target =
      "/v1/watch?kinds=" + joined + "&after=" + std::to_string(after) + "&wait_ms=" + std::to_string(wait.count());
  if (this->watch == nullptr || !this->watch->Usable() || this->watch->Busy()) {
    this->watch = std::make_shared<net::HttpConnection>(this->loop, this->pool.Target());
  }
  const std::uint64_t watch_id = ++this->latest_watch_id;
  const auto list = std::make_shared<ListReply>();
  this->watch->Call(
      net::HttpRequest{"GET", target, {}, {}}, BootClock::now() + wait + kWatchTimeoutMargin,
      [this, watch_id, list, callback = std::move(callback)](const net::CallResult& result) {
        PlatformReply reply = this->CountReply(result, list->Finish(result));
        if (watch_id == this->latest_watch_id) {
          callback(std::move(reply));
        }
      },
      [list](std::string_view part) { list->Append(part); });
}

void PlatformClient::CloseWatch() {
  ++this->latest_watch_id;
  if (this->watch != nullptr) {
    this->watch->Close();
    this->watch = nullptr;
  }
}

void PlatformClient::Call(net::HttpRequest request, Callback callback) {
  this->pool.Call(std::move(request), BootClock::now() + kCallTimeout,
                  [this, callback = std::move(callback)](const net::CallResult& result) {
                    callback(this->CountReply(result, ToReply(result)));
                  });
}

void PlatformClient::CallForList(net::HttpRequest request, Callback callback) {
  const auto list = std::make_shared<ListReply>();
  this->pool.Call(
      std::move(request), BootClock::now() + kCallTimeout,
      [this, list, callback = std::move(callback)](const net::CallResult& result) {
        callback(this->CountReply(result, list->Finish(result)));
      },
      [list](std::string_view part) { list->Append(part); });
}

PlatformReply PlatformClient::CountReply(const net::CallResult& result, PlatformReply reply) {
  this->traffic.CountCall(kPlatformTraffic, result);
  this->invalid_entries.value += reply.invalid_entries;
  return reply;
}

}  // namespace amaranthlane::daemon
