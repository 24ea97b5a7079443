#include "core/coordination/rights.h"

#include <algorithm>
#include <vector>

#include "core/coordination/quorum.h"

namespace amaranthlane::coordination {

PrimaryRights::PrimaryRights(const CoordinationSettings& settings) : settings(settings) {}

void PrimaryRights::Add(const VmName& member, std::uint64_t epoch, TimePoint sent_at, Duration store_silence) {
  Promise& promise = this->promises[member];
  if (epoch >= promise.epoch && sent_at >= promise.sent_at) {
    promise = {epoch, sent_at, store_silence};
  }
}

void PrimaryRights::Extend(const CoordinationRecord& record) {
  std::vector<Promise> given;
  for (const Member& member : record.members) {
    const auto found = this->promises.find(member.vm);
    if (found != this->promises.end() && found->second.epoch == record.epoch) {
      given.push_back(found->second);
    }
  }
  const std::size_t needed = PromisesNeeded(record.members.size());
  if (needed == 0 || given.size() < needed) {
    return;
  }
  std::sort(given.begin(), given.end(), [](const Promise& a, const Promise& b) { return a.sent_at > b.sent_at; });
  given.resize(needed);
  const TimePoint earliest = given.back().sent_at;
  Duration silence = Duration::max();
  for (const Promise& promise : given) {
    silence = std::min(silence, promise.store_silence);
  }
  if (silence <= this->settings.store_silence_limit) {
    this->until = std::max(this->until, earliest + this->settings.promise - this->settings.margin);
  }
}

TimePoint PrimaryRights::Until() const { return this->until; }

}  // namespace amaranthlane::coordination
