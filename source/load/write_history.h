#ifndef AMARANTHLANE_LOAD_WRITE_HISTORY_H_
#define AMARANTHLANE_LOAD_WRITE_HISTORY_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

// Records the outcomes of a run's writes and checks whether later reads are consistent with them.
namespace amaranthlane::load {

// A guarantee that responses have shown to be broken.
enum class Violation : std::uint8_t {
  // An acknowledged write is missing.
  kLostWrite,
  // A write whose outcome was reported as not run is visible.
  kRanAfterRefusal,
  // A write ran more than once.
  kRanTwice,
  // A response holds a value that its statement can't yield, so it was probably meant for another request.
  kForeignAnswer,
  // A session's read did not see the session's own write.
  kOwnWriteMissed,
  // A read missed a write that is older than the permitted staleness, or a replica's age bound exceeded it.
  kTooOld,
};
inline constexpr std::size_t kViolationCount = 6;

std::string_view ViolationName(Violation violation);

// The operation of a write, chosen so that a read can detect a fault.
enum class WriteOperation : std::uint8_t {
  // Adds 1 to a counter that no other write uses; a value of 2 shows that the write ran twice.
  kAdd,
  // Stores its own key as the value, so that the response to a read of another key is recognised.
  kPut,
};

struct WriteRecord {
  GroupName group;
  std::string key;
  WriteOperation operation = WriteOperation::kAdd;
  Outcome outcome = Outcome::kUnknown;
  bool ended = false;
  // When the response with outcome kDone arrived; kNever for any other write.
  TimePoint done_at = kNever;
};

using WriteIndex = std::size_t;

// All writes of a run, in the order in which they were sent.
class WriteHistory {
 public:
  // Adds a write that is about to be sent and returns its index.
  WriteIndex RecordStart(const GroupName& group, const std::string& key, WriteOperation operation);
  void RecordOutcome(WriteIndex write, Outcome outcome, TimePoint now);

  const WriteRecord& Get(WriteIndex write) const;
  std::size_t Size() const;
  std::size_t DoneCount() const;
  // The index of a write chosen at random among those done at or before `before`; Size() if there is none.
  WriteIndex PickDoneWrite(TimePoint before, std::mt19937_64& generator) const;

  // The statement that performs the write, and one that reads the written key, as JSON text.
  std::string WriteStatement(WriteIndex write) const;
  std::string ReadStatement(WriteIndex write) const;

 private:
  std::vector<WriteRecord> records;
  // Indexes of the done writes, ordered by `done_at`.
  std::vector<WriteIndex> done_writes;
};

enum class ReadCheck : std::uint8_t { kPresent, kAbsent, kAppliedMoreThanOnce, kUnexpectedValue };

// Compares `result`, the JSON text of a statement's result, with the value that the write should have left.
ReadCheck CheckRead(const WriteRecord& record, std::string_view result);

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_WRITE_HISTORY_H_
