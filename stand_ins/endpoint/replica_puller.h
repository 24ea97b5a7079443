#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_REPLICA_PULLER_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_REPLICA_PULLER_H_

#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "common/boot_clock.h"
#include "stand_ins/common/freezable_executor.h"
#include "stand_ins/common/http_client.h"
#include "stand_ins/endpoint/instance.h"
#include "stand_ins/endpoint/log_message.h"

namespace amaranthlane::stand_ins {

// Pulls the primary's log into a replica and applies each entry once it is as old as the replication lag. An entry that
// isn't applied yet counts as not received: it is forgotten when the instance is configured anew.
class ReplicaPuller {
 public:
  // Pulls from the IP number `source`; unspecified: from any. `applied` is called after entries were applied or
  // dropped.
  ReplicaPuller(boost::asio::io_context& io, FreezableExecutor& executor, Instance& instance,
                boost::asio::ip::address source_address, std::function<void()> on_log_changed);

  // Starts over for the role that the instance now has.
  void Restart();
  // Also shortens the wait of entries that are waiting.
  void SetLag(std::chrono::milliseconds lag);

 private:
  struct PendingEntry {
    LogEntry entry;
    TimePoint apply_at;
  };

  void Pull();
  void RetryLater();
  void OnResponse(const std::optional<HttpResponse>& response);
  void OnMismatch(const std::string& body);
  void QueueEntries(LogResponse response);
  void ApplyDueEntries();
  void ScheduleApply();
  // The place behind the newest entry, applied or waiting.
  Position ReceivedPosition() const;

  boost::asio::io_context& io;
  FreezableExecutor& executor;
  Instance& instance;
  boost::asio::ip::address source_address;
  std::function<void()> on_log_changed;
  std::shared_ptr<HttpClient> client;
  boost::asio::steady_timer retry_timer;
  boost::asio::steady_timer apply_timer;
  std::deque<PendingEntry> pending;
  std::chrono::milliseconds lag{0};
  // Rises with each restart, so that work held back from before is recognised.
  std::uint64_t generation = 0;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_REPLICA_PULLER_H_
