#ifndef AMARANTHLANE_LOAD_WRITE_HISTORY_H_
#define AMARANTHLANE_LOAD_WRITE_HISTORY_H_

#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "core/types.h"

// What callers were told of their writes, and whether what is read agrees with it.
namespace amaranthlane::load {

// A promise that the answers contradict.
enum class Violation : std::uint8_t {
  // A write that was acknowledged isn't there.
  kLostWrite,
  // A write that was refused as not run is there.
  kRanAfterRefusal,
  // A write ran more than once.
  kRanTwice,
  // An answer belongs to another request.
  kForeignAnswer,
  // A session didn't read its own write.
  kOwnWriteMissed,
  // A read is older than it was owed, or than it said.
  kTooOld,
};
inline constexpr std::size_t kViolationCount = 6;

std::string_view ViolationName(Violation violation);

// How a write shows in the database.
enum class WriteOperation : std::uint8_t {
  // Adds 1 to a counter of its own: a second run shows as 2.
  kAdd,
  // Puts its own key as the value: an answer to another read shows.
  kPut,
};

struct WriteRecord {
  GroupName group;
  std::string key;
  WriteOperation operation = WriteOperation::kAdd;
  Outcome outcome = Outcome::kUnknown;
  bool ended = false;
  // When the answer came; kNever until then and for a write that isn't known to be done.
  TimePoint done_at = kNever;
};

using WriteIndex = std::size_t;

// All writes of a run.
class WriteHistory {
 public:
  // Notes a write that is about to be sent.
  WriteIndex RecordStart(const GroupName& group, const std::string& key, WriteOperation operation);
  void RecordOutcome(WriteIndex write, Outcome outcome, TimePoint now);

  const WriteRecord& Get(WriteIndex write) const;
  std::size_t Size() const;
  std::size_t DoneCount() const;
  // The index of a write that is done, drawn at random among those done by `before`; the size if there is none.
  WriteIndex PickDoneWrite(TimePoint before, std::mt19937_64& generator) const;

  // The statement of the write, and that of a read of it, as JSON text.
  std::string WriteStatement(WriteIndex write) const;
  std::string ReadStatement(WriteIndex write) const;

 private:
  std::vector<WriteRecord> records;
  // Indexes of the done writes, in the order of their ends.
  std::vector<WriteIndex> done_writes;
};

enum class ReadCheck : std::uint8_t { kPresent, kAbsent, kAppliedMoreThanOnce, kUnexpectedValue };

// What a result, as JSON text, says of the write that was read.
ReadCheck CheckRead(const WriteRecord& record, std::string_view result);

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_WRITE_HISTORY_H_
