#include "load/ledger.h"

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

WriteIndex Ledger::Begin(const GroupName& group, const std::string& key, WriteForm form) {
  this->rows.push_back(WriteRow{group, key, form, Outcome::kUnknown, false, kNever});
  return this->rows.size() - 1;
}

void Ledger::End(WriteIndex write, Outcome outcome, TimePoint now) {
  WriteRow& row = this->rows[write];
  row.outcome = outcome;
  row.ended = true;
  if (outcome == Outcome::kDone) {
    row.done_at = now;
    this->done.push_back(write);
  }
}

const WriteRow& Ledger::Row(WriteIndex write) const { return this->rows[write]; }

std::size_t Ledger::Size() const { return this->rows.size(); }

std::size_t Ledger::DoneCount() const { return this->done.size(); }

WriteIndex Ledger::DrawDone(TimePoint before, std::mt19937_64& generator) const {
  const auto end = std::partition_point(this->done.begin(), this->done.end(), [this, before](WriteIndex write) {
    return this->rows[write].done_at <= before;
  });
  const auto count = static_cast<std::size_t>(end - this->done.begin());
  return count == 0 ? this->rows.size() : this->done[generator() % count];
}

std::string Ledger::WriteStatement(WriteIndex write) const {
  const WriteRow& row = this->rows[write];
  if (row.form == WriteForm::kAdd) {
    return R"({"op":"add","key":")" + row.key + R"(","amount":1})";
  }
  return R"({"op":"put","key":")" + row.key + R"(","value":")" + row.key + R"("})";
}

std::string Ledger::ReadStatement(WriteIndex write) const {
  return R"({"op":"get","key":")" + this->rows[write].key + R"("})";
}

ReadVerdict JudgeRead(const WriteRow& row, std::string_view result) {
  const Json parsed = Json::parse(result, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object() || !parsed.contains("value")) {
    return ReadVerdict::kForeign;
  }
  const Json& value = parsed["value"];
  if (value.is_null()) {
    return ReadVerdict::kAbsent;
  }
  if (row.form == WriteForm::kPut) {
    return value == Json(row.key) ? ReadVerdict::kPresent : ReadVerdict::kForeign;
  }
  if (!value.is_number_integer()) {
    return ReadVerdict::kForeign;
  }
  return value.get<std::int64_t>() == 1 ? ReadVerdict::kPresent : ReadVerdict::kTwice;
}

}  // namespace amaranthlane::load
