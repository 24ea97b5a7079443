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

// Pulls log entries from the primary and applies each to the replica when the replication lag has passed since its
// receipt. Entries that are not yet applied are discarded when the instance is reconfigured, as if never received.
class ReplicaPuller {
 public:
  // Connects to the primary from the IP address `source_address`; if it is unspecified, the operating system chooses
  // one. `on_log_changed` is called after entries were applied or removed.
  ReplicaPuller(boost::asio::io_context& io, FreezableExecutor& executor, Instance& instance,
                boost::asio::ip::address source_address, std::function<void()> on_log_changed);

  // Discards pending entries and restarts pulling if the instance is now a replica.
  void Restart();
  // A shorter lag also applies to pending entries.
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
  // The position of the newest entry, whether applied or pending.
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
  // Incremented by each restart, so that callbacks from before the restart are ignored.
  std::uint64_t generation = 0;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_REPLICA_PULLER_H_
