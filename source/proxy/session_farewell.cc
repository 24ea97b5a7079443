#include "proxy/session_farewell.h"

#include <utility>
#include <variant>

namespace amaranthlane::proxy {

using statements::FailureCode;
using statements::Statement;
using statements::TransactionStatus;

namespace {

// Other VMs take the caller at once.
constexpr char kComeBackAtOnce[] = "retry_after_ms=0 ";

}  // namespace

SessionFarewell::SessionFarewell(SessionContext& context, std::string why) : context(context), why(std::move(why)) {}

std::string SessionFarewell::Greeting() const {
  return this->context.Codec().Failure(FailureCode::kNotRun, kComeBackAtOnce + this->why);
}

std::string SessionFarewell::OnBytes(std::string_view bytes) {
  this->received.append(bytes);
  std::string answer;
  std::size_t length = 0;
  while ((length = this->context.Codec().FrameLength(this->received)) > 0) {
    answer += this->OnMessage(this->context.Codec().ParseCallerMessage(this->received.substr(0, length)));
    this->received.erase(0, length);
  }
  return answer;
}

std::string SessionFarewell::OnMessage(const CallerMessage& message) {
  // The first message has the failure already.
  const std::string failure = this->done ? this->Greeting() : std::string();
  this->done = true;
  if (std::holds_alternative<OpenSession>(message) || std::holds_alternative<CloseSession>(message)) {
    // The refusal of a session has no further part.
    return {};
  }
  StatementEnd end;
  if (const auto* statement = std::get_if<Statement>(&message)) {
    end.id = statement->id;
  }
  end.kind = "farewell";
  end.outcome = statements::FailureCodeName(FailureCode::kNotRun);
  end.why = this->why;
  end.failed = true;
  end.record_version = this->context.RecordVersion();
  this->context.OnStatementEnd(end);
  return failure + this->context.Codec().Ready(TransactionStatus::kIdle);
}

bool SessionFarewell::Done() const { return this->done; }

}  // namespace amaranthlane::proxy
