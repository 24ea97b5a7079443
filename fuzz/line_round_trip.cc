#include "line_round_trip.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "common/error.h"
#include "common/message_field.h"
#include "core/statements/session_restore.h"
#include "platform/line_codec.h"
#include "platform/stream_readers.h"
#include "proxy/frame_reader.h"

namespace amaranthlane::fuzz {

namespace {

using platform::SentStatement;
using statements::RestoreStep;
using statements::Statement;
using statements::StatementKind;

constexpr std::string_view kLineEnd = "\r\n";
// The id of statements that the proxy issues itself.
constexpr char kOwnId[] = "-";

const platform::LineCodec kCodec;

void Require(bool holds, const std::string& rule) {
  if (!holds) {
    throw std::logic_error(rule);
  }
}

std::vector<std::string> Frames(std::string_view stream) {
  proxy::FrameReader reader(kCodec, proxy::NoticePolicy::kReject);
  reader.Append(stream);
  std::vector<std::string> frames;
  while (std::optional<proxy::Frame> frame = reader.Next()) {
    frames.push_back(std::move(frame->bytes));
  }
  return frames;
}

// What can't be encoded must have been refused before: the proxy doesn't expect an error here.
std::string Encode(const std::function<std::string()>& encode) {
  try {
    return encode();
  } catch (const InvalidFieldError& error) {
    throw std::logic_error(std::string("an accepted field can't be encoded: ") + error.what());
  }
}

void RequireOneMessage(std::string_view encoded) {
  Require(encoded.ends_with(kLineEnd), "a message doesn't end with CR LF");
  Require(encoded.size() <= proxy::kMaxMessageBytes, "a message is too large");
  const std::string_view message = encoded.substr(0, encoded.size() - kLineEnd.size());
  for (const platform::Terminators& reader : platform::StreamReaders()) {
    Require(platform::ReadMessages(encoded, reader) == std::vector<std::string_view>{message},
            "a reader finds more than one message");
  }
}

void RequireStatement(std::string_view encoded, const SentStatement& expected) {
  RequireOneMessage(encoded);
  for (const platform::Terminators& reader : platform::StreamReaders()) {
    Require(platform::ReadStatements(encoded, reader) == std::vector<SentStatement>{expected},
            "a reader finds another statement");
  }
}

// The text of a statement as it must reach an endpoint.
std::string ForwardedText(const Statement& statement, const std::string& endpoint_statement_name) {
  if (statement.kind != StatementKind::kExecute) {
    return statement.text;
  }
  return "EXECUTE " + endpoint_statement_name + (statement.argument.empty() ? "" : " " + statement.argument);
}

void RoundTripStatement(const Statement& statement) {
  const std::string name = statements::EndpointStatementName({statement.writes, statement.text});
  const std::string text = ForwardedText(statement, name);
  RequireStatement(Encode([&] { return kCodec.EncodeStatement(statement, std::nullopt, name); }), {statement.id, text});
  RequireStatement(Encode([&] {
                     return kCodec.EncodeStatement(statement, LogPosition{3, 1207}, name);
                   }),
                   {statement.id, "WAITPOS 3.1207 " + text});
}

std::string RestoredText(const RestoreStep& step) {
  switch (step.kind) {
    case RestoreStep::Kind::kReset:
      return "RESET";
    case RestoreStep::Kind::kSetValue:
      return "SET " + step.name + " " + step.value;
    case RestoreStep::Kind::kPrepare:
      break;
  }
  return "PREPARE " + step.name + (step.prepared.writes ? " WRITE " : " READ ") + step.prepared.statement_text;
}

// Restores what the statement adds to its session on a connection that holds another session's values.
void RoundTripSessionState(const Statement& statement) {
  statements::SessionValues values;
  std::optional<statements::PreparedStatement> prepared;
  if (statement.kind == StatementKind::kSetValue) {
    values[statement.name] = statement.argument;
  } else if (statement.kind == StatementKind::kPrepare) {
    prepared = statements::PreparedStatement{statement.writes, statement.argument};
  } else {
    return;
  }
  const statements::ConnectionSessionState other_session{{{"other name", "value"}}, {}};
  const std::vector<RestoreStep> steps =
      statements::PlanRestore(other_session, values, prepared ? &*prepared : nullptr);
  Require(steps.size() == 2, "a reset and one step restore one value or prepared statement");
  for (const RestoreStep& step : steps) {
    RequireStatement(Encode([&] { return kCodec.EncodeRestoreStep(step); }), {kOwnId, RestoredText(step)});
  }
}

// The answer to a refused message says why, and may quote it.
void RequireOneFailure(std::string_view text) {
  RequireOneMessage(Encode([&] { return kCodec.EncodeFailure(statements::FailureCode::kMalformed, text); }));
}

}  // namespace

void RoundTripCallersLines(std::string_view stream) {
  const std::vector<SentStatement> sent = platform::ReadStatements(stream, platform::StrictReader());
  auto next = sent.begin();
  std::optional<std::string> refused;
  const std::vector<std::string> frames = Frames(stream);
  const bool is_statement = std::holds_alternative<Statement>(kCodec.ParseCallerMessage(stream));
  Require(!is_statement || frames == std::vector<std::string>{std::string(stream)}, "a statement has several messages");
  for (const std::string& frame : frames) {
    const proxy::CallerMessage message = kCodec.ParseCallerMessage(frame);
    if (const auto* malformed = std::get_if<proxy::MalformedMessage>(&message)) {
      refused = malformed->reason;
      RequireOneFailure(malformed->reason);
    } else if (const auto* open = std::get_if<proxy::OpenSession>(&message)) {
      RequireOneFailure(open->database);
    } else if (const auto* statement = std::get_if<Statement>(&message)) {
      next = std::find(next, sent.end(), SentStatement{statement->id, statement->text});
      Require(next != sent.end(), "a statement is accepted that the caller didn't send");
      ++next;
      RoundTripStatement(*statement);
      RoundTripSessionState(*statement);
      RequireOneFailure(statement->name);
    }
  }
  if (frames.empty()) {
    refused = "no message is complete";
  }
  if (refused) {
    throw ParseError("caller's stream", "message", *refused);
  }
}

void RoundTripEndpointsLines(std::string_view stream) {
  const std::vector<std::string> frames = Frames(stream);
  bool refused = frames.empty();
  for (const std::string& frame : frames) {
    const proxy::EndpointMessage message = kCodec.ParseEndpointMessage(frame);
    switch (message.kind) {
      case proxy::EndpointMessage::Kind::kRow:
        Require("ROW " + message.row + std::string(kLineEnd) == frame || message.row.empty(), "a row has changed");
        RequireOneMessage(frame);
        break;
      case proxy::EndpointMessage::Kind::kComplete:
        RequireOneMessage(frame);
        break;
      case proxy::EndpointMessage::Kind::kFailure:
        RequireOneMessage(Encode([&] { return kCodec.EncodeFailure(message.code, message.text); }));
        break;
      case proxy::EndpointMessage::Kind::kReady:
        RequireOneMessage(Encode([&] { return kCodec.EncodeReady(message.state); }));
        break;
      case proxy::EndpointMessage::Kind::kUnforwardable:
        // Nothing of it goes on to a caller.
        break;
      case proxy::EndpointMessage::Kind::kMalformed:
        refused = true;
        break;
    }
  }
  if (refused) {
    throw ParseError("endpoint's stream", "message", "complete messages of known types");
  }
}

}  // namespace amaranthlane::fuzz
