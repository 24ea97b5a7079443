#ifndef AMARANTHLANE_CORE_REPLICAS_AGE_HISTORY_H_
#define AMARANTHLANE_CORE_REPLICAS_AGE_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "core/types.h"

// Bounds the age of data by its log offset.
namespace amaranthlane::replicas {

// One observation of the primary: at `sent_at` or later, its log ended at `offset`.
struct PrimarySample {
  TimePoint sent_at;
  std::uint64_t offset = 0;
};

// A bounded history of probes of one term's primary. Data that includes every entry up to a sample's offset misses
// nothing that was committed before that sample's probe was sent.
class AgeHistory {
 public:
  // Keeps `capacity` samples. On overflow every second one of the older half is dropped, which can only raise the
  // bounds.
  explicit AgeHistory(std::size_t capacity);

  void Record(TimePoint sent_at, std::uint64_t offset);
  void Clear();
  // The maximum age that data up to `offset` can have at `now`; empty when no sample bounds it.
  std::optional<Duration> AgeBound(TimePoint now, std::uint64_t offset) const;

 private:
  void Thin();

  std::size_t capacity;
  // In ascending order of both send time and offset.
  std::deque<PrimarySample> samples;
};

}  // namespace amaranthlane::replicas

#endif  // AMARANTHLANE_CORE_REPLICAS_AGE_HISTORY_H_
