#include "load/write_history.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>

namespace amaranthlane::load {

namespace {

using Json = nlohmann::json;

constexpr std::array<std::string_view, kViolationCount> kViolationNames = {
    "lost_write", "ran_after_refusal", "ran_twice", "foreign_answer", "own_write_missed", "too_old"};

}  // namespace

std::string_view ViolationName(Violation violation) { return kViolationNames[static_cast<std::size_t>(violation)]; }

WriteIndex WriteHistory::RecordStart(const GroupName& group, const std::string& key, WriteOperation operation) {
  this->records.push_back(WriteRecord{group, key, operation, Outcome::kUnknown, false, kNever});
  return this->records.size() - 1;
}

void WriteHistory::RecordOutcome(WriteIndex write, Outcome outcome, TimePoint now) {
  WriteRecord& record = this->records[write];
  record.outcome = outcome;
  record.ended = true;
  if (outcome == Outcome::kDone) {
    record.done_at = now;
    this->done_writes.push_back(write);
  }
}

const WriteRecord& WriteHistory::Get(WriteIndex write) const { return this->records[write]; }

std::size_t WriteHistory::Size() const { return this->records.size(); }

std::size_t WriteHistory::DoneCount() const { return this->done_writes.size(); }

WriteIndex WriteHistory::PickDoneWrite(TimePoint before, std::mt19937_64& generator) const {
  const auto end =
      std::partition_point(this->done_writes.begin(), this->done_writes.end(),
                           [this, before](WriteIndex write) { return this->records[write].done_at <= before; });
  const auto count = static_cast<std::size_t>(end - this->done_writes.begin());
  return count == 0 ? this->records.size() : this->done_writes[generator() % count];
}

std::string WriteHistory::WriteStatement(WriteIndex write) const {
  const WriteRecord& record = this->records[write];
  if (record.operation == WriteOperation::kAdd) {
    return R"({"op":"add","key":")" + record.key + R"(","amount":1})";
  }
  return R"({"op":"put","key":")" + record.key + R"(","value":")" + record.key + R"("})";
}

std::string WriteHistory::ReadStatement(WriteIndex write) const {
  return R"({"op":"get","key":")" + this->records[write].key + R"("})";
}

ReadCheck CheckRead(const WriteRecord& record, std::string_view result) {
  const Json parsed = Json::parse(result, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object() || !parsed.contains("value")) {
    return ReadCheck::kUnexpectedValue;
  }
  const Json& value = parsed["value"];
  if (value.is_null()) {
    return ReadCheck::kAbsent;
  }
  if (record.operation == WriteOperation::kPut) {
    return value == Json(record.key) ? ReadCheck::kPresent : ReadCheck::kUnexpectedValue;
  }
  if (!value.is_number_integer()) {
    return ReadCheck::kUnexpectedValue;
  }
  return value.get<std::int64_t>() == 1 ? ReadCheck::kPresent : ReadCheck::kAppliedMoreThanOnce;
}

}  // namespace amaranthlane::load
