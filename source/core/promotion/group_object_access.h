#ifndef AMARANTHLANE_CORE_PROMOTION_GROUP_OBJECT_ACCESS_H_
#define AMARANTHLANE_CORE_PROMOTION_GROUP_OBJECT_ACCESS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/promotion/instance_requests.h"
#include "core/promotion/messages.h"
#include "core/types.h"

// Reads and conditionally updates the group's object on a platform that may be down, slow, or lose replies.
namespace amaranthlane::promotion {

// The result of an update.
struct UpdateResult {
  // False: the object was changed by another update, and this one can no longer take effect.
  bool applied = false;
  ObjectVersion version = 0;
  replicas::GroupRecord record;
};

// Handles one read and one update at a time. An unanswered update is settled by reading the object again: it was
// applied when the object carries its id, it is sent again when the object is unchanged, and it has failed when the
// version has moved on.
class GroupObjectAccess {
 public:
  explicit GroupObjectAccess(RetrySettings settings);

  // Reads the object, with retries until a read succeeds. The reply to an earlier read in flight is ignored.
  void Read(TimePoint now);
  void Update(TimePoint now, ObjectVersion expected_version, const replicas::GroupRecord& record);
  // Abandons the update without learning whether it took effect.
  void DropUpdate();
  std::vector<Action> TakeDue(TimePoint now, RequestId& last_request);

  // Returns true when this read was awaited.
  bool OnRead(const GroupObjectRead& event, TimePoint now);
  void OnReadFailed(RequestId request, TimePoint now);
  void OnApplied(const UpdateApplied& event);
  void OnConflict(const UpdateConflicted& event);
  void OnOutcomeUnknown(const std::string& update_id, TimePoint now);
  // The object was received from a watch.
  void OnObserved(ObjectVersion version, const replicas::GroupRecord& record);

  // The result of the update; returned only once.
  std::optional<UpdateResult> TakeResult();
  // The latest requested read has completed.
  bool IsReadComplete() const;
  // The platform hasn't answered the latest call.
  bool PlatformUnavailable() const;
  TimePoint NextDeadline() const;

 private:
  enum class UpdateState : std::uint8_t { kNone, kWaiting, kSent, kReading };

  bool IsPending(const std::string& update_id) const;
  void Finish(bool applied, ObjectVersion version, const replicas::GroupRecord& record);
  void ResolveUpdate(ObjectVersion version, const replicas::GroupRecord& record, TimePoint now);

  RetrySettings settings;
  bool read_wanted = false;
  // 0 while the read waits to be sent.
  RequestId read_request = 0;
  TimePoint read_due = kNever;
  UpdateState update_state = UpdateState::kNone;
  UpdateGroupObject update;
  TimePoint update_due = kNever;
  std::uint32_t failures = 0;
  std::optional<UpdateResult> result;
};

}  // namespace amaranthlane::promotion

#endif  // AMARANTHLANE_CORE_PROMOTION_GROUP_OBJECT_ACCESS_H_
