#include "core/leadership/messages.h"

#include <cstdint>
#include <limits>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::leadership {

namespace {

constexpr const char* kGrantRequest = "promise request";
constexpr const char* kGrantReply = "promise answer";
constexpr const char* kCloseRequest = "close request";
constexpr const char* kCloseReply = "close answer";

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

GrantRequestEntry ParseGrantRequestEntry(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kGrantRequest);
  return {.group = reader.String("group"),
          .ballot = ReadBallot(reader, kGrantRequest),
          .release = reader.BoolOr("release", false)};
}

nlohmann::json ToJson(const GrantRequestEntry& entry) {
  nlohmann::json value = {{"group", entry.group}, {"epoch", entry.ballot.epoch}, {"rank", entry.ballot.rank}};
  if (entry.release) {
    value["release"] = true;
  }
  return value;
}

GrantReplyEntry ParseGrantReplyEntry(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kGrantReply);
  return {.group = reader.String("group"),
          .ballot = ReadBallot(reader, kGrantReply),
          .granted = reader.Bool("granted"),
          .floor = ReadFloor(reader, kGrantReply)};
}

nlohmann::json ToJson(const GrantReplyEntry& entry) {
  return {{"group", entry.group},     {"epoch", entry.ballot.epoch},      {"rank", entry.ballot.rank},
          {"granted", entry.granted}, {"floor_epoch", entry.floor.epoch}, {"floor_rank", entry.floor.rank}};
}

}  // namespace

GrantRequest ParseGrantRequest(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kGrantRequest);
  GrantRequest request;
  request.holder = ParseHolder(reader.Object("holder"));
  for (const nlohmann::json& entry : reader.Array("asks")) {
    request.entries.push_back(ParseGrantRequestEntry(entry));
  }
  return request;
}

GrantReply ParseGrantReply(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kGrantReply);
  GrantReply reply;
  reply.witness = reader.String("witness");
  for (const nlohmann::json& entry : reader.Array("replies")) {
    reply.entries.push_back(ParseGrantReplyEntry(entry));
  }
  return reply;
}

CloseRequest ParseCloseRequest(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kCloseRequest);
  return {.group = reader.String("group"),
          .ballot = ReadBallot(reader, kCloseRequest),
          .closer = ParseHolder(reader.Object("closer")),
          .decided = reader.Bool("decided")};
}

CloseReply ParseCloseReply(const nlohmann::json& value) {
  const json::ObjectReader reader(value, kCloseReply);
  return {.witness = reader.String("witness"),
          .group = reader.String("group"),
          .ballot = ReadBallot(reader, kCloseReply),
          .accepted = reader.Bool("accepted"),
          .holder_alive = reader.Bool("holder_alive"),
          .recovering = reader.Bool("recovering"),
          .floor = ReadFloor(reader, kCloseReply),
          .remaining = reader.Milliseconds("remaining_ms")};
}

nlohmann::json ToJson(const GrantRequest& request) {
  nlohmann::json entries = nlohmann::json::array();
  for (const GrantRequestEntry& entry : request.entries) {
    entries.push_back(ToJson(entry));
  }
  return {{"holder", ToJson(request.holder)}, {"asks", entries}};
}

nlohmann::json ToJson(const GrantReply& reply) {
  nlohmann::json entries = nlohmann::json::array();
  for (const GrantReplyEntry& entry : reply.entries) {
    entries.push_back(ToJson(entry));
  }
  return {{"witness", reply.witness}, {"replies", entries}};
}

nlohmann::json ToJson(const CloseRequest& request) {
  return {{"group", request.group},
          {"epoch", request.ballot.epoch},
          {"rank", request.ballot.rank},
          {"closer", ToJson(request.closer)},
          {"decided", request.decided}};
}

nlohmann::json ToJson(const CloseReply& reply) {
  return {{"witness", reply.witness},       {"group", reply.group},
          {"epoch", reply.ballot.epoch},    {"rank", reply.ballot.rank},
          {"accepted", reply.accepted},     {"holder_alive", reply.holder_alive},
          {"recovering", reply.recovering}, {"floor_epoch", reply.floor.epoch},
          {"floor_rank", reply.floor.rank}, {"remaining_ms", static_cast<std::uint64_t>(reply.remaining.count())}};
}

}  // namespace amaranthlane::leadership
