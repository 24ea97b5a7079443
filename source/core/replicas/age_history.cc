#include "core/replicas/age_history.h"

#include <algorithm>

namespace amaranthlane::replicas {

AgeHistory::AgeHistory(std::size_t capacity) : capacity(std::max<std::size_t>(capacity, 2)) {}

void AgeHistory::Record(TimePoint sent_at, std::uint64_t offset) {
  // Replies may arrive out of order. A sample that was sent no later than another and has no lower offset adds nothing
  // to the bounds.
  const auto dominated_by_new = [sent_at, offset](const PrimarySample& sample) {
    return sample.sent_at <= sent_at && sample.offset >= offset;
  };
  const bool dominated_by_existing = std::ranges::any_of(this->samples, [sent_at, offset](const PrimarySample& sample) {
    return sample.sent_at >= sent_at && sample.offset <= offset;
  });
  if (dominated_by_existing) return;
  std::erase_if(this->samples, dominated_by_new);
  const auto place = std::ranges::upper_bound(this->samples, sent_at, {}, &PrimarySample::sent_at);
  this->samples.insert(place, PrimarySample{.sent_at = sent_at, .offset = offset});
  if (this->samples.size() > this->capacity) this->Thin();
}

void AgeHistory::Clear() { this->samples.clear(); }

std::optional<Duration> AgeHistory::AgeBound(TimePoint now, std::uint64_t offset) const {
  const auto after = std::ranges::upper_bound(this->samples, offset, {}, &PrimarySample::offset);
  if (after == this->samples.begin()) return std::nullopt;
  return std::max(Duration::zero(), now - std::prev(after)->sent_at);
}

void AgeHistory::Thin() {
  std::deque<PrimarySample> kept;
  const std::size_t half = this->samples.size() / 2;
  for (std::size_t index = 0; index < this->samples.size(); ++index) {
    if (index >= half || index % 2 == 0) kept.push_back(this->samples[index]);
  }
  this->samples = std::move(kept);
}

}  // namespace amaranthlane::replicas
