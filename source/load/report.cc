#include "load/report.h"

#include <fmt/format.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace amaranthlane::load {

namespace {

using Json = nlohmann::json;

double ToMs(std::chrono::nanoseconds duration) { return std::chrono::duration<double, std::milli>(duration).count(); }

double Share(std::uint64_t part, std::uint64_t whole) {
  return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

Json ToJson(const Stream& stream, const StreamCounts& counts) {
  Json row{{"kind", stream.kind},
           {"rank", RankName(stream.rank)},
           {"rate", stream.rate},
           {"sent", counts.sent},
           {"done", counts.done},
           {"not_run", counts.not_run},
           {"unknown", counts.unknown},
           {"done_share", Share(counts.done, counts.sent)},
           {"retried", counts.retried},
           {"p50_ms", ToMs(counts.latency.Quantile(0.5))},
           {"p99_ms", ToMs(counts.latency.Quantile(0.99))},
           {"max_ms", ToMs(counts.latency.Maximum())},
           {"problems", counts.problems}};
  if (stream.mode != StreamMode::kWrite) {
    row["replica_share"] = Share(counts.from_replica, counts.done);
    row["unwritten_session_share"] = Share(counts.by_sessions_without_writes, counts.sent);
    row["greatest_age_ms"] = counts.max_age_bound.count();
  }
  return row;
}

}  // namespace

void WriteGap::Update(TimePoint now) {
  this->longest = std::max<std::chrono::nanoseconds>(this->longest, now - this->last_acknowledged);
  this->last_acknowledged = now;
}

std::uint64_t Report::TotalViolations() const {
  return std::accumulate(this->violations.begin(), this->violations.end(), std::uint64_t{0});
}

Json ToJson(const Report& report) {
  Json streams = Json::array();
  for (std::size_t index = 0; index < report.streams.size(); ++index) {
    streams.push_back(ToJson(report.profile.streams[index], report.streams[index]));
  }
  Json write_gaps = Json::object();
  for (const auto& [group, gap] : report.write_gaps) {
    write_gaps[group] = ToMs(gap.longest);
  }
  Json violations = Json::object();
  for (std::size_t index = 0; index < kViolationCount; ++index) {
    violations[std::string(ViolationName(static_cast<Violation>(index)))] = report.violations[index];
  }
  return Json{{"seed", report.profile.seed},         {"duration_ms", report.profile.duration.count()},
              {"streams", std::move(streams)},       {"write_gap_ms", std::move(write_gaps)},
              {"violations", std::move(violations)}, {"verified", report.verified},
              {"unverified", report.unverified}};
}

std::string ToText(const Report& report) {
  std::string text =
      fmt::format("{:<20} {:<7} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9} {:>8} {:>8}\n", "kind", "rank", "sent",
                  "done", "not_run", "unknown", "p50_ms", "p99_ms", "max_ms", "replica", "age_ms");
  for (std::size_t index = 0; index < report.streams.size(); ++index) {
    const Stream& stream = report.profile.streams[index];
    const StreamCounts& counts = report.streams[index];
    text += fmt::format("{:<20} {:<7} {:>8} {:>8} {:>8} {:>8} {:>9.2f} {:>9.2f} {:>9.2f} {:>8.3f} {:>8}\n", stream.kind,
                        RankName(stream.rank), counts.sent, counts.done, counts.not_run, counts.unknown,
                        ToMs(counts.latency.Quantile(0.5)), ToMs(counts.latency.Quantile(0.99)),
                        ToMs(counts.latency.Maximum()), Share(counts.from_replica, counts.done),
                        counts.max_age_bound.count());
  }
  for (const auto& [group, gap] : report.write_gaps) {
    text += fmt::format("longest write gap of {}: {:.0f} ms\n", group, ToMs(gap.longest));
  }
  for (std::size_t index = 0; index < kViolationCount; ++index) {
    if (report.violations[index] != 0) {
      text += fmt::format("VIOLATION {}: {}\n", ViolationName(static_cast<Violation>(index)), report.violations[index]);
    }
  }
  text += fmt::format("seed {}: {} writes verified, {} not verifiable, {} violations\n", report.profile.seed,
                      report.verified, report.unverified, report.TotalViolations());
  return text;
}

}  // namespace amaranthlane::load
