#ifndef AMARANTHLANE_DAEMON_PLATFORM_CLIENT_H_
#define AMARANTHLANE_DAEMON_PLATFORM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/configuration/platform_object.h"
#include "core/membership/membership_system.h"
#include "core/types.h"
#include "daemon/control_traffic.h"
#include "metrics/registry.h"
#include "net/http_connection.h"
#include "net/http_pool.h"

namespace amaranthlane::daemon {

enum class PlatformStatus : std::uint8_t {
  kDone,
  // The object doesn't exist; `version` is that of its tombstone or 0. From Get, `object` is the tombstone.
  kNotFound,
  // The object didn't have the expected version; `object` is its current state.
  kConflict,
  // The call was provably never sent.
  kNotSent,
  // No usable reply was received: the call may or may not have taken effect.
  kUnknown,
};

struct PlatformReply {
  PlatformStatus status = PlatformStatus::kUnknown;
  ObjectVersion version = 0;
  configuration::PlatformObject object;
  std::vector<configuration::PlatformObject> objects;
  std::vector<membership::ListedVm> vms;
  // The number of entries that could not be parsed and are missing from `objects` and `vms`.
  std::uint64_t invalid_entries = 0;
};

// Calls the platform's object API. Each callback runs once, with the reply or after a timeout; only that of a watch
// that was closed or replaced doesn't run.
class PlatformClient {
 public:
  using Callback = std::function<void(PlatformReply)>;

  PlatformClient(boost::asio::io_context& loop, const net::Address& address, metrics::Registry& metrics,
                 ControlTraffic& traffic);

  void Get(const std::string& kind, const std::string& name, Callback callback);
  void List(const std::string& kind, Callback callback);
  void ListVms(Callback callback);
  // Writes `value` if the object's version is still `expected_version`; 0 means that the object doesn't exist yet.
  void Put(const std::string& kind, const std::string& name, ObjectVersion expected_version,
           const nlohmann::json& value, Callback callback);
  void Delete(const std::string& kind, const std::string& name, ObjectVersion expected_version, Callback callback);

  // Waits up to `wait` for changes after version `after`, on a separate connection. Only one watch is open at a time.
  void Watch(const std::vector<std::string>& kinds, ObjectVersion after, std::chrono::milliseconds wait,
             Callback callback);
  // Closes the watch's connection; its callback doesn't run.
  void CloseWatch();

 private:
  class ListReply;

  // Counts the call and its reply, and returns the reply.
  PlatformReply CountReply(const net::CallResult& result, PlatformReply reply);
  void Call(net::HttpRequest request, Callback callback);
  // The same for a reply with any number of entries.
  void CallForList(net::HttpRequest request, Callback callback);

  boost::asio::io_context& loop;
  net::HttpPool pool;
  std::shared_ptr<net::HttpConnection> watch;
  // Incremented by Watch and CloseWatch, so that the end of an earlier watch is recognized and ignored.
  std::uint64_t latest_watch_id = 0;
  ControlTraffic& traffic;
  metrics::Counter& reads;
  metrics::Counter& writes;
  metrics::Counter& watches;
  metrics::Counter& invalid_entries;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_PLATFORM_CLIENT_H_
