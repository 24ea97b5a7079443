#include "core/coordination/rights.h"

#include <algorithm>

namespace amaranthlane::coordination {

PrimaryRights::PrimaryRights(const CoordinationSettings& settings) : settings(settings) {}

void PrimaryRights::Add(const VmName& member, std::uint64_t epoch, TimePoint sent_at, Duration store_silence) {
  Promise& promise = this->promises[member];
  if (epoch >= promise.epoch && sent_at >= promise.sent_at) {
    promise = {epoch, sent_at, store_silence};
  }
}

void PrimaryRights::Extend(const CoordinationRecord& record) {
  if (record.members.empty()) {
    return;
  }
  TimePoint earliest = kNever;
  Duration silence = Duration::max();
  for (const Member& member : record.members) {
    const auto found = this->promises.find(member.vm);
    if (found == this->promises.end() || found->second.epoch != record.epoch) {
      return;
    }
    earliest = std::min(earliest, found->second.sent_at);
    silence = std::min(silence, found->second.store_silence);
  }
  if (silence <= this->settings.store_silence_limit) {
    this->until = std::max(this->until, earliest + this->settings.promise - this->settings.margin);
  }
}

TimePoint PrimaryRights::Until() const { return this->until; }

}  // namespace amaranthlane::coordination
