#include "core/quotas/permit_messages.h"

#include <string>

#include "common/error.h"
#include "common/json.h"

namespace amaranthlane::quotas {

namespace {

constexpr char kRequestDocument[] = "permit request";
constexpr char kReplyDocument[] = "permit reply";
// The most permits that one request may ask for an organisation.
constexpr std::uint64_t kMaxCount = 100UL * 1000;

std::uint64_t ParseCount(const json::ObjectReader& reader, const char* document, const char* key) {
  const std::uint64_t count = reader.Unsigned(key);
  if (count > kMaxCount) {
    throw ParseError(document, key, "at most 100000");
  }
  return count;
}

}  // namespace

nlohmann::json ToJson(const PermitRequest& request) {
  nlohmann::json permits = nlohmann::json::object();
  for (const auto& [organisation, count] : request.counts) {
    permits[organisation] = count;
  }
  return {{"permits", std::move(permits)}};
}

PermitRequest ParsePermitRequest(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kRequestDocument);
  const nlohmann::json& permits = reader.Object("permits");
  const json::ObjectReader counts(permits, kRequestDocument);
  PermitRequest request;
  for (const auto& member : permits.items()) {
    request.counts[member.key()] = ParseCount(counts, kRequestDocument, member.key().c_str());
  }
  return request;
}

nlohmann::json ToJson(const PermitReply& reply) {
  nlohmann::json permits = nlohmann::json::object();
  for (const auto& [organisation, grant] : reply.grants) {
    nlohmann::json& entry = permits[organisation] = {{"granted", grant.granted}};
    if (grant.retry_after.count() > 0 || grant.interval.count() > 0) {
      entry["retry_after_ms"] = static_cast<std::uint64_t>(grant.retry_after.count());
      entry["interval_ms"] = static_cast<std::uint64_t>(grant.interval.count());
    }
  }
  return {{"permits", std::move(permits)}, {"allocating", reply.allocating}};
}

PermitReply ParsePermitReply(const nlohmann::json& document) {
  const json::ObjectReader reader(document, kReplyDocument);
  PermitReply reply;
  reply.allocating = reader.Bool("allocating");
  for (const auto& member : reader.Object("permits").items()) {
    const json::ObjectReader entry(member.value(), kReplyDocument);
    reply.grants[member.key()] = {ParseCount(entry, kReplyDocument, "granted"),
                                  entry.MillisecondsOr("retry_after_ms", {}), entry.MillisecondsOr("interval_ms", {})};
  }
  return reply;
}

}  // namespace amaranthlane::quotas
