#ifndef AMARANTHLANE_CORE_REPLICAS_ACKNOWLEDGEMENT_WAITS_H_
#define AMARANTHLANE_CORE_REPLICAS_ACKNOWLEDGEMENT_WAITS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/types.h"

// Commits that wait until a replica holds them.
namespace amaranthlane::replicas {

// Identifies a statement or commit within its leader.
using StatementId = std::uint64_t;

enum class Replication : std::uint8_t {
  // A replica that is synced in the commit's term holds it.
  kReplicated,
  // The deadline passed or the term changed first; the outcome of the commit is unknown.
  kUnknown,
};

struct AcknowledgementResult {
  StatementId statement = 0;
  LogPosition position;
  Replication replication = Replication::kUnknown;
};

// The waits of one group in one term, ordered by log offset.
class AcknowledgementWaits {
 public:
  void Add(StatementId statement, const LogPosition& position, TimePoint deadline);
  // Ends every wait up to `offset` as replicated.
  std::vector<AcknowledgementResult> Confirm(std::uint64_t offset);
  // Ends every wait whose deadline isn't after `now` as unknown.
  std::vector<AcknowledgementResult> Expire(TimePoint now);
  // Ends every wait as unknown.
  std::vector<AcknowledgementResult> FailAll();
  TimePoint NextDeadline() const;

 private:
  struct Wait {
    StatementId statement = 0;
    LogPosition position;
    TimePoint deadline;
  };

  // By log offset.
  using WaitTable = std::multimap<std::uint64_t, Wait>;

  AcknowledgementResult EndWait(WaitTable::iterator wait, Replication replication);

  WaitTable waits;
  std::multimap<TimePoint, WaitTable::iterator> deadlines;
};

}  // namespace amaranthlane::replicas

#endif  // AMARANTHLANE_CORE_REPLICAS_ACKNOWLEDGEMENT_WAITS_H_
