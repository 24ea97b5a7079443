#include "daemon/request_metrics.h"

#include <string>

namespace amaranthlane::daemon {

RequestMetrics::RequestMetrics(metrics::Registry& registry)
    : replica_reads(&registry.GetCounter("amaranthlane_reads_total", "Answered reads, by the role of the endpoint.",
                                         {{"role", "replica"}})),
      primary_reads(&registry.GetCounter("amaranthlane_reads_total", "Answered reads, by the role of the endpoint.",
                                         {{"role", "primary"}})) {
  for (const Rank rank : kRanks) {
    const auto rank_index = static_cast<std::size_t>(rank);
    const std::string rank_name(RankName(rank));
    for (const Outcome outcome : {Outcome::kDone, Outcome::kNotRun, Outcome::kUnknown}) {
      this->requests[rank_index][static_cast<std::size_t>(outcome)] =
          &registry.GetCounter("amaranthlane_requests_total", "Ended requests of callers, by outcome and rank.",
                               {{"outcome", std::string(OutcomeName(outcome))}, {"rank", rank_name}});
    }
    this->latency[rank_index] = &registry.GetHistogram(
        "amaranthlane_request_seconds", "Time from the arrival of a caller's request to its response, in seconds.",
        {{"rank", rank_name}});
  }
}

void RequestMetrics::CountRequest(Rank rank, Outcome outcome, std::chrono::nanoseconds duration) {
  const auto rank_index = static_cast<std::size_t>(rank);
  ++this->requests[rank_index][static_cast<std::size_t>(outcome)]->value;
  this->latency[rank_index]->Add(duration);
}

void RequestMetrics::CountRead(bool from_replica) {
  ++(from_replica ? this->replica_reads : this->primary_reads)->value;
}

}  // namespace amaranthlane::daemon
