#ifndef AMARANTHLANE_CORE_SCHEDULING_ENTRY_ADMISSION_H_
#define AMARANTHLANE_CORE_SCHEDULING_ENTRY_ADMISSION_H_

#include <optional>
#include <random>
#include <unordered_map>

#include "core/scheduling/work_item.h"

namespace amaranthlane::scheduling {

// A request that the entry VM refuses itself instead of forwarding it to the group's leader.
struct EntryRefusal {
  RefusalReason reason = RefusalReason::kWaitTooLong;
  TimePoint retry_at;
};

// Refuses requests at the entry VM according to the load that the leaders reported. A report has its full weight until
// the age kFullWeightAge and then fades, so that a lost leader or a silent connection doesn't cause refusals for long.
class EntryAdmission {
 public:
  // Records the report of `group`, received at `now`.
  void RecordReport(const GroupName& group, const PressureReport& report, TimePoint now);
  // Returns a refusal if, by the latest report, the group's leader would refuse the request or the request is beyond
  // the admission fraction; none if it is to be forwarded. `generator` selects at random which requests are beyond it.
  std::optional<EntryRefusal> Check(const GroupName& group, Rank rank, TargetKind target, TimePoint deadline,
                                    TimePoint now, std::mt19937_64& generator) const;
  // Removes the report of a group, e.g. when its leader has changed.
  void RemoveReport(const GroupName& group);

 private:
  struct ReceivedReport {
    PressureReport report;
    TimePoint received;
  };

  std::unordered_map<GroupName, ReceivedReport> reports;
};

}  // namespace amaranthlane::scheduling

#endif  // AMARANTHLANE_CORE_SCHEDULING_ENTRY_ADMISSION_H_
