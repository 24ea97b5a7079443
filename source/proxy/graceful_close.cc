#include "proxy/graceful_close.h"

#include <optional>
#include <utility>
#include <variant>

namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::TransactionStatus;

namespace {

// The caller needn't wait before it reconnects: other VMs accept it.
constexpr char kRetryAtOnce[] = "retry_after_ms=0 ";

}  // namespace

GracefulClose::GracefulClose(SessionContext& context, std::string reason, FrameReader reader)
    : context(context), reason(std::move(reason)), reader(std::move(reader)) {}

std::string GracefulClose::CloseNotice() const {
  return this->context.Codec().EncodeFailure(FailureCode::kNotRun, kRetryAtOnce + this->reason);
}

std::string GracefulClose::OnBytes(std::string_view bytes) {
  this->reader.Append(bytes);
  std::string answer;
  while (const std::optional<Frame> frame = this->reader.Next()) {
    // A relaying VM's notice is no message of the caller.
    if (frame->kind == Frame::Kind::kMessage) {
      answer += this->OnMessage(this->context.Codec().ParseCallerMessage(frame->bytes));
    }
  }
  this->done = this->done || this->reader.TooLarge();
  return answer;
}

std::string GracefulClose::OnMessage(const CallerMessage& message) {
  // The close notice is the failure for the first message.
  const std::string failure = this->done ? this->CloseNotice() : std::string();
  this->done = true;
  if (std::holds_alternative<OpenSession>(message) || std::holds_alternative<CloseSession>(message)) {
    // A session that is refused or closed gets no ready message.
    return {};
  }
  StatementReport report;
  if (const auto* statement = std::get_if<Statement>(&message)) {
    report.id = statement->id;
  }
  report.kind = "farewell";
  report.outcome = statements::FailureCodeName(FailureCode::kNotRun);
  report.reason = this->reason;
  report.failed = true;
  report.record_version = this->context.RecordVersion();
  this->context.OnStatementFinished(report);
  return failure + this->context.Codec().EncodeReady(TransactionStatus::kIdle);
}

bool GracefulClose::Done() const { return this->done; }

}  // namespace amaranthlane::proxy
