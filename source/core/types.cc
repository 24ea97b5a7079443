#include "core/types.h"

#include "common/error.h"

namespace amaranthlane {

namespace {

constexpr std::array<std::string_view, kRankCount> kRankNames = {"urgent", "normal", "bulk"};

}  // namespace

std::string_view RankName(Rank rank) { return kRankNames[static_cast<std::size_t>(rank)]; }

Rank ParseRank(std::string_view name) {
  for (const Rank rank : kRanks) {
    if (RankName(rank) == name) {
      return rank;
    }
  }
  throw ParseError("selector", "rank", "urgent, normal or bulk");
}

std::string_view AcknowledgementLevelName(AcknowledgementLevel level) {
  return level == AcknowledgementLevel::kPrimary ? "primary" : "replicated";
}

AcknowledgementLevel ParseAcknowledgementLevel(std::string_view name) {
  if (name == "primary") {
    return AcknowledgementLevel::kPrimary;
  }
  if (name == "replicated") {
    return AcknowledgementLevel::kReplicated;
  }
  throw ParseError("selector", "acknowledgement", "primary or replicated");
}

std::string_view OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kDone:
      return "done";
    case Outcome::kNotRun:
      return "not_run";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace amaranthlane
