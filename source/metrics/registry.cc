#include "metrics/registry.h"

#include <fmt/format.h>

#include <array>
#include <chrono>

namespace amaranthlane::metrics {

namespace {

constexpr std::array<double, 13> kBucketBoundsSeconds = {0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1,
                                                         0.3,    1.0,    2.0,   5.0,   10.0, 30.0};

std::string EscapeLabel(const std::string& value) {
  std::string escaped;
  for (const char character : value) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      escaped.push_back('\\');
    }
    escaped.push_back(character);
  }
  return escaped;
}

std::string FormatLabels(const Labels& labels, const std::string& bound = {}) {
  std::string text;
  for (const Label& label : labels) {
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name, EscapeLabel(label.value));
  }
  if (!bound.empty()) {
    text += fmt::format("{}le=\"{}\"", text.empty() ? "" : ",", bound);
  }
  return text.empty() ? text : "{" + text + "}";
}

std::string FormatHeader(const std::string& name, const std::string& help, const char* type) {
  return fmt::format("# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

std::string FormatHistogram(const std::string& name, const Labels& labels, const LatencyHistogram& histogram) {
  std::string text;
  for (const double bound : kBucketBoundsSeconds) {
    // The factor keeps rounding errors from excluding a histogram bucket whose upper bound equals `bound`.
    const auto duration =
        std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(bound * 1.001));
    text += fmt::format("{}_bucket{} {}\n", name, FormatLabels(labels, fmt::format("{}", bound)),
                        histogram.CountUpTo(duration));
  }
  text += fmt::format("{}_bucket{} {}\n", name, FormatLabels(labels, "+Inf"), histogram.Count());
  text +=
      fmt::format("{}_sum{} {}\n", name, FormatLabels(labels), std::chrono::duration<double>(histogram.Sum()).count());
  text += fmt::format("{}_count{} {}\n", name, FormatLabels(labels), histogram.Count());
  return text;
}

}  // namespace

Counter& Registry::GetCounter(const std::string& name, const std::string& help, const Labels& labels) {
  Family<Counter>& family = this->counters[name];
  family.help = help;
  return family.members[labels];
}

Gauge& Registry::GetGauge(const std::string& name, const std::string& help, const Labels& labels) {
  Family<Gauge>& family = this->gauges[name];
  family.help = help;
  return family.members[labels];
}

LatencyHistogram& Registry::GetHistogram(const std::string& name, const std::string& help, const Labels& labels) {
  Family<LatencyHistogram>& family = this->histograms[name];
  family.help = help;
  return family.members[labels];
}

std::string Registry::Expose() const {
  std::string text;
  for (const auto& [name, family] : this->counters) {
    text += FormatHeader(name, family.help, "counter");
    for (const auto& [labels, counter] : family.members) {
      text += fmt::format("{}{} {}\n", name, FormatLabels(labels), counter.value);
    }
  }
  for (const auto& [name, family] : this->gauges) {
    text += FormatHeader(name, family.help, "gauge");
    for (const auto& [labels, gauge] : family.members) {
      text += fmt::format("{}{} {}\n", name, FormatLabels(labels), gauge.value);
    }
  }
  for (const auto& [name, family] : this->histograms) {
    text += FormatHeader(name, family.help, "histogram");
    for (const auto& [labels, histogram] : family.members) {
      text += FormatHistogram(name, labels, histogram);
    }
  }
  return text;
}

}  // namespace amaranthlane::metrics
