#ifndef AMARANTHLANE_CORE_FAILOVER_LOG_HOLDERS_H_
#define AMARANTHLANE_CORE_FAILOVER_LOG_HOLDERS_H_

#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "core/coordination/record.h"
#include "core/failover/endpoint_status.h"
#include "core/types.h"

namespace amaranthlane::failover {

// Which logs may hold acknowledged commits, for groups in which commits wait for replicas: those of all endpoints that
// the directory has named. The coordinator keeps them in the record, so that they outlast processes.
// An endpoint whose entry is gone may still run, receive, and let commits be acknowledged: it may have lost the store
// alone. Its log is forgotten once
// - another endpoint at its address has the log, which is transferred when a draining endpoint ends, or
// - its process is known to have ended, and so many others have reached a later position of the primary that each
// commit
//   which was acknowledged for it is in enough other logs, or
// - commits wait for no replica any more.
class LogHolders {
 public:
  // Replaces the directory. `synchronous_replicas`: the number for each group of the configuration; groups that it
  // doesn't name keep what is known.
  void OnDirectory(const EndpointDirectory& update, const std::map<GroupName, std::uint64_t>& synchronous_replicas,
                   TimePoint now);
  // This VM has adopted a record.
  void OnRecord(const coordination::CoordinationRecord& record, TimePoint now);

  // Nothing listens at the endpoint's address any more, or another endpoint does.
  void OnProcessEnded(const EndpointName& endpoint, TimePoint now);
  // The endpoint has reported its position, so its process runs.
  void OnPosition(const EndpointName& endpoint, const LogPosition& position);
  // True when a position that the endpoint reported, in answer to a query sent at `queried_at`, tells what its log
  // holds. Otherwise the answer is older than its entry in the directory, which may be that of another start; or the
  // endpoint has reported a later position since the primary was last changed, so that it has started again and the
  // directory doesn't tell yet.
  bool ShowsLog(const EndpointName& endpoint, const LogPosition& position, TimePoint queried_at) const;
  // As many endpoints of the directory as a commit waits for have reached a position that the primary reported in
  // answer to a query sent at `queried_at`.
  void OnPositionReached(const GroupName& group, TimePoint queried_at);

  // The holders of the group that have no entry in the directory.
  std::vector<coordination::LogHolder> Departed(const GroupName& group) const;
  // Those of them that may still answer at their address.
  std::vector<coordination::LogHolder> Askable(const GroupName& group) const;
  // True if one of them waits for OnPositionReached() only.
  bool AwaitsPosition(const GroupName& group) const;
  // The number of departed holders of all groups.
  std::size_t DepartedCount() const;
  // All holders, as the record is to name them.
  coordination::LogHoldersByGroup All() const;

 private:
  using Key = std::pair<EndpointName, Incarnation>;
  struct Holder {
    coordination::LogHolder log;
    bool departed = false;
    // Since when the directory has had its entry; kNever: it hasn't.
    TimePoint listed_since = kNever;
    // Since when its process is known to have ended; kNever: it isn't.
    TimePoint ended_at = kNever;
    // The era of the newest record that names it; 0: none does.
    StoreEra recorded_in = 0;
    // The newest position that it has reported since the primary was last changed.
    LogPosition newest;
  };

  void AddPresent();
  // Compares the holders with the directory.
  void Update(TimePoint now);
  bool IsPresent(const GroupName& group, const coordination::LogHolder& log) const;
  // True when another endpoint has its log.
  bool IsTransferred(const GroupName& group, const coordination::LogHolder& log) const;
  // True when another endpoint, or another start of its own, has taken its place.
  bool IsSucceeded(const GroupName& group, const coordination::LogHolder& log) const;
  // True when an answer of the endpoint tells of this holder.
  bool SpeaksFor(const EndpointName& endpoint, const GroupName& group, const Holder& holder) const;

  EndpointDirectory directory;
  std::map<GroupName, std::uint64_t> synchronous_replicas;
  std::map<GroupName, std::map<Key, Holder>> holders;
  std::map<GroupName, Term> terms;
};

}  // namespace amaranthlane::failover

#endif  // AMARANTHLANE_CORE_FAILOVER_LOG_HOLDERS_H_
