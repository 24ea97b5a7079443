#include "proxy/word_codec.h"

#include <map>
#include <sstream>
#include <utility>

#include "common/error.h"

namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::StatementKind;
using statements::TransactionStatus;

namespace {

int Number(StatementKind kind) { return static_cast<int>(kind); }

}  // namespace

std::size_t WordCodec::FrameLength(std::string_view bytes) const {
  const std::size_t end = bytes.find('\n');
  return end == std::string_view::npos ? 0 : end + 1;
}

CallerMessage WordCodec::ParseCallerMessage(std::string_view frame) const {
  static const std::map<std::string, StatementKind> statement_kinds = {
      {"begin", StatementKind::kBegin},     {"begin_read", StatementKind::kBeginReadOnly},
      {"commit", StatementKind::kCommit},   {"rollback", StatementKind::kRollback},
      {"read", StatementKind::kRead},       {"write", StatementKind::kWrite},
      {"set", StatementKind::kSetValue},    {"prepare", StatementKind::kPrepare},
      {"execute", StatementKind::kExecute},
  };
  std::istringstream words{std::string(frame)};
  std::string word;
  words >> word;
  if (word == "open") {
    OpenSession open;
    words >> open.database;
    return open;
  }
  if (word == "close") {
    return CloseSession{};
  }
  const auto kind = statement_kinds.find(word);
  if (kind == statement_kinds.end()) {
    return MalformedMessage{"unknown word " + word};
  }
  Statement statement;
  statement.kind = kind->second;
  statement.text = frame;
  words >> statement.id >> statement.name;
  if (statement.kind == StatementKind::kPrepare) {
    words >> word;
    statement.writes = word == "write";
  }
  words >> statement.argument;
  return statement;
}

EndpointMessage WordCodec::ParseEndpointMessage(std::string_view frame) const {
  std::istringstream words{std::string(frame)};
  std::string word;
  int number = 0;
  LogPosition position;
  EndpointMessage message;
  words >> word;
  if (word == "row") {
    message.kind = EndpointMessage::Kind::kRow;
    std::getline(words >> std::ws, message.row);
  } else if (word == "complete") {
    message.kind = EndpointMessage::Kind::kComplete;
  } else if (word == "failure") {
    message.kind = EndpointMessage::Kind::kFailure;
    words >> number;
    message.code = static_cast<FailureCode>(number);
  } else if (word == "ready") {
    message.kind = EndpointMessage::Kind::kReady;
    words >> number >> position.term >> position.offset;
    message.state = static_cast<TransactionStatus>(number);
    if (position.term > 0) {
      message.position = position;
    }
  }
  return message;
}

std::string WordCodec::Ready(TransactionStatus state) const {
  return "ready " + std::to_string(static_cast<int>(state)) + " 0 0\n";
}

std::string WordCodec::Complete() const { return "complete\n"; }

std::string WordCodec::Failure(FailureCode code, std::string_view text) const {
  return "failure " + std::to_string(static_cast<int>(code)) + " " + std::string(text) + "\n";
}

std::string WordCodec::Connect(const GroupName& group, const VmName& who, const EndpointName& endpoint) const {
  return "connect " + group + " " + who + " " + endpoint + "\n";
}

std::string WordCodec::Forward(const Statement& statement, const std::optional<LogPosition>& at_least,
                               const std::string& /*endpoint_name*/) const {
  const LogPosition owed = at_least.value_or(LogPosition{});
  return "forward " + std::to_string(Number(statement.kind)) + " " + statement.id + " " + std::to_string(owed.term) +
         " " + std::to_string(owed.offset) + "\n";
}

std::string WordCodec::Replay(const statements::RestoreStep& step) const {
  switch (step.kind) {
    case statements::RestoreStep::Kind::kReset:
      return "reset\n";
    case statements::RestoreStep::Kind::kSetValue:
      return "value " + step.name + " " + step.value + "\n";
    case statements::RestoreStep::Kind::kPrepare:
      return "prepared " + step.name + "\n";
  }
  return {};
}

std::string WordCodec::Rollback() const { return "forward " + std::to_string(Number(StatementKind::kRollback)) + "\n"; }

std::string WordCodec::Status() const { return "status\n"; }

std::string WordCodec::StepDown(Term term) const { return "step_down " + std::to_string(term) + "\n"; }

failover::EndpointStatus WordCodec::ParseStatus(std::string_view row) const {
  std::istringstream words{std::string(row)};
  failover::EndpointStatus status;
  words >> status.is_primary >> status.term >> status.position.offset;
  if (words.fail()) {
    throw ParseError("status", "row", "three numbers");
  }
  status.position.term = status.term;
  return status;
}

}  // namespace amaranthlane::proxy
