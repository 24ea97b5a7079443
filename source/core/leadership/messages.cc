#include "core/leadership/messages.h"

#include <cstdint>
#include <limits>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::leadership {

namespace {

constexpr const char* kPromiseRequest = "promise request";
constexpr const char* kPromiseAnswer = "promise answer";
constexpr const char* kCloseRequest = "close request";
constexpr const char* kCloseAnswer = "close answer";

std::uint32_t ReadRank(const json::ObjectReader& reader, const char* document, const char* key) {
  const std::uint64_t rank = reader.Unsigned(key);
  if (rank > std::numeric_limits<std::uint32_t>::max()) {
    throw ParseError(document, key, "an unsigned 32-bit integer");
  }
  return static_cast<std::uint32_t>(rank);
}

Ballot ReadBallot(const json::ObjectReader& reader, const char* document) {
  return {.epoch = reader.Unsigned("epoch"), .rank = ReadRank(reader, document, "rank")};
}

Ballot ReadFloor(const json::ObjectReader& reader, const char* document) {
  return {.epoch = reader.Unsigned("floor_epoch"), .rank = ReadRank(reader, document, "floor_rank")};
}

PromiseRequestEntry ParsePromiseRequestEntry(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kPromiseRequest);
  return {.group = reader.String("group"),
          .ballot = ReadBallot(reader, kPromiseRequest),
          .release = reader.BoolOr("release", false)};
}

nlohmann::json ToJson(const PromiseRequestEntry& entry) {
  nlohmann::json value = {{"group", entry.group}, {"epoch", entry.ballot.epoch}, {"rank", entry.ballot.rank}};
  if (entry.release) {
    value["release"] = true;
  }
  return value;
}

PromiseAnswerEntry ParsePromiseAnswerEntry(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kPromiseAnswer);
  return {.group = reader.String("group"),
          .ballot = ReadBallot(reader, kPromiseAnswer),
          .granted = reader.Bool("granted"),
          .floor = ReadFloor(reader, kPromiseAnswer)};
}

nlohmann::json ToJson(const PromiseAnswerEntry& entry) {
  return {{"group", entry.group},     {"epoch", entry.ballot.epoch},      {"rank", entry.ballot.rank},
          {"granted", entry.granted}, {"floor_epoch", entry.floor.epoch}, {"floor_rank", entry.floor.rank}};
}

}  // namespace

PromiseRequest ParsePromiseRequest(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kPromiseRequest);
  PromiseRequest request;
  request.holder = ParseHolder(reader.Object("holder"));
  for (const nlohmann::json& entry : reader.Array("asks")) {
    request.entries.push_back(ParsePromiseRequestEntry(entry));
  }
  return request;
}

PromiseAnswer ParsePromiseAnswer(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kPromiseAnswer);
  PromiseAnswer answer;
  answer.witness = reader.String("witness");
  for (const nlohmann::json& entry : reader.Array("replies")) {
    answer.entries.push_back(ParsePromiseAnswerEntry(entry));
  }
  return answer;
}

CloseRequest ParseCloseRequest(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kCloseRequest);
  return {.group = reader.String("group"),
          .ballot = ReadBallot(reader, kCloseRequest),
          .closer = ParseHolder(reader.Object("closer")),
          .decided = reader.Bool("decided")};
}

CloseAnswer ParseCloseAnswer(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kCloseAnswer);
  return {.witness = reader.String("witness"),
          .group = reader.String("group"),
          .ballot = ReadBallot(reader, kCloseAnswer),
          .accepted = reader.Bool("accepted"),
          .holder_alive = reader.Bool("holder_alive"),
          .recovering = reader.Bool("recovering"),
          .floor = ReadFloor(reader, kCloseAnswer),
          .remaining = reader.Milliseconds("remaining_ms")};
}

nlohmann::json ToJson(const PromiseRequest& request) {
  nlohmann::json entries = nlohmann::json::array();
  for (const PromiseRequestEntry& entry : request.entries) {
    entries.push_back(ToJson(entry));
  }
  return {{"holder", ToJson(request.holder)}, {"asks", entries}};
}

nlohmann::json ToJson(const PromiseAnswer& answer) {
  nlohmann::json entries = nlohmann::json::array();
  for (const PromiseAnswerEntry& entry : answer.entries) {
    entries.push_back(ToJson(entry));
  }
  return {{"witness", answer.witness}, {"replies", entries}};
}

nlohmann::json ToJson(const CloseRequest& request) {
  return {{"group", request.group},
          {"epoch", request.ballot.epoch},
          {"rank", request.ballot.rank},
          {"closer", ToJson(request.closer)},
          {"decided", request.decided}};
}

nlohmann::json ToJson(const CloseAnswer& answer) {
  return {{"witness", answer.witness},       {"group", answer.group},
          {"epoch", answer.ballot.epoch},    {"rank", answer.ballot.rank},
          {"accepted", answer.accepted},     {"holder_alive", answer.holder_alive},
          {"recovering", answer.recovering}, {"floor_epoch", answer.floor.epoch},
          {"floor_rank", answer.floor.rank}, {"remaining_ms", static_cast<std::uint64_t>(answer.remaining.count())}};
}

}  // namespace amaranthlane::leadership
