#include "core/replicas/acknowledgement_waits.h"

namespace amaranthlane::replicas {

void AcknowledgementWaits::Add(StatementId statement, const LogPosition& position, TimePoint deadline) {
  const auto wait = this->waits.emplace(position.offset, Wait{statement, position, deadline});
  this->deadlines.emplace(deadline, wait);
}

std::vector<AcknowledgementResult> AcknowledgementWaits::Confirm(std::uint64_t offset) {
  std::vector<AcknowledgementResult> results;
  while (!this->waits.empty() && this->waits.begin()->first <= offset) {
    results.push_back(this->EndWait(this->waits.begin(), Replication::kReplicated));
  }
  return results;
}

std::vector<AcknowledgementResult> AcknowledgementWaits::Expire(TimePoint now) {
  std::vector<AcknowledgementResult> results;
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    results.push_back(this->EndWait(this->deadlines.begin()->second, Replication::kUnknown));
  }
  return results;
}

std::vector<AcknowledgementResult> AcknowledgementWaits::FailAll() {
  std::vector<AcknowledgementResult> results;
  while (!this->waits.empty()) results.push_back(this->EndWait(this->waits.begin(), Replication::kUnknown));
  return results;
}

TimePoint AcknowledgementWaits::NextDeadline() const {
  return this->deadlines.empty() ? kNever : this->deadlines.begin()->first;
}

AcknowledgementResult AcknowledgementWaits::EndWait(WaitTable::iterator wait, Replication replication) {
  const AcknowledgementResult result{wait->second.statement, wait->second.position, replication};
  auto [first, last] = this->deadlines.equal_range(wait->second.deadline);
  while (first != last && first->second != wait) ++first;
  this->deadlines.erase(first);
  this->waits.erase(wait);
  return result;
}

}  // namespace amaranthlane::replicas
