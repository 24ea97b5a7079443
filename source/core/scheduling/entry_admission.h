#ifndef AMARANTHLANE_CORE_SCHEDULING_ENTRY_ADMISSION_H_
#define AMARANTHLANE_CORE_SCHEDULING_ENTRY_ADMISSION_H_

#include <optional>
#include <random>
#include <unordered_map>

#include "core/scheduling/work_item.h"

namespace amaranthlane::scheduling {

// Tells that an entry VM refuses a request itself, so that it never reaches the group's leader.
struct EntryRefusal {
  RefusalReason reason = RefusalReason::kWaitTooLong;
  TimePoint retry_at;
};

// Refuses requests at the entry VM by the load that the leaders reported. A report counts fully for kFullWeightAge and
// then fades, so that a lost leader or a silent connection refuses nobody for long.
class EntryAdmission {
 public:
  // Takes in the report of `group`, received at `now`.
  void RecordReport(const GroupName& group, const PressureReport& report, TimePoint now);
  // Refuses a request that its group's leader would refuse. Nothing: pass it on. `generator` draws for the fractions.
  std::optional<EntryRefusal> Check(const GroupName& group, Rank rank, TargetKind target, TimePoint deadline,
                                    TimePoint now, std::mt19937_64& generator) const;
  // Forgets a group, e.g. when its leader has changed.
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
