#include "logging/log.h"

#include <easylogging++.h>
#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <iostream>
#include <utility>

#include "common/json_text.h"

INITIALIZE_EASYLOGGINGPP

namespace amaranthlane::logging {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

// A value that takes more is cut to the second number of bytes, before they are quoted.
constexpr std::size_t kMaxValueBytes = 2048;
constexpr std::size_t kCutValueBytes = 512;
// A line of at most PIPE_BUF bytes is written to a pipe as a whole or not at all. The rest is for the time, the last
// two counts and the line feed.
constexpr std::size_t kReservedBytes = 128;
constexpr std::size_t kMaxFieldsBytes = PIPE_BUF - kReservedBytes;

Level min_level = Level::kInfo;
std::string vm_name;
std::uint64_t dropped_lines = 0;

std::string QuoteValue(std::string_view text) {
  if (text.size() <= kMaxValueBytes) {
    std::string quoted = json::QuoteJson(text);
    if (quoted.size() <= kMaxValueBytes) {
      return quoted;
    }
  }
  return json::QuoteJson(std::string(text.substr(0, kCutValueBytes)) + "... (" + std::to_string(text.size()) +
                         " bytes)");
}

}  // namespace

void Initialize(std::string_view vm, std::string_view level) {
  vm_name = vm;
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames[index] == level) {
      min_level = static_cast<Level>(index);
    }
  }
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, R"({"time":"%datetime{%Y-%M-%dT%H:%m:%s.%g}",%msg})");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void Write(Level level, std::string_view event, std::initializer_list<Field> fields) {
  if (level < min_level) {
    return;
  }
  std::string line = "\"level\":\"" + std::string(kLevelNames[static_cast<std::size_t>(level)]) +
                     "\",\"vm\":" + QuoteValue(vm_name) + ",\"event\":" + QuoteValue(event);
  std::size_t omitted_fields = 0;
  for (const Field& field : fields) {
    const std::string member =
        "," + json::QuoteJson(field.name) + ":" + (field.quoted ? QuoteValue(field.text) : field.text);
    if (line.size() + member.size() > kMaxFieldsBytes) {
      ++omitted_fields;
      continue;
    }
    line += member;
  }
  if (omitted_fields > 0) {
    line += ",\"fields_omitted\":" + std::to_string(omitted_fields);
  }
  if (!std::cout) {
    // The output rejected a line because its reader fell behind.
    ++dropped_lines;
    std::cout.clear();
  }
  if (dropped_lines > 0) {
    line += ",\"lines_dropped\":" + std::to_string(dropped_lines);
  }
  switch (level) {
    case Level::kDebug:
    case Level::kInfo:
      LOG(INFO) << line;
      return;
    case Level::kWarning:
      LOG(WARNING) << line;
      return;
    case Level::kError:
      LOG(ERROR) << line;
      return;
  }
}

RateLimiter::RateLimiter(double lines_per_second, double max_burst_lines)
    : lines_per_second(lines_per_second), max_burst_lines(max_burst_lines), available_lines(max_burst_lines) {}

bool RateLimiter::Admit(TimePoint now) {
  const double elapsed_seconds = std::chrono::duration<double>(now - this->refilled_at).count();
  this->available_lines =
      std::min(this->max_burst_lines, this->available_lines + std::max(0.0, elapsed_seconds) * this->lines_per_second);
  this->refilled_at = now;
  if (this->available_lines < 1) {
    ++this->suppressed;
    return false;
  }
  this->available_lines -= 1;
  return true;
}

std::uint64_t RateLimiter::TakeSuppressedCount() { return std::exchange(this->suppressed, 0); }

}  // namespace amaranthlane::logging
