#ifndef AMARANTHLANE_LOGGING_LOG_H_
#define AMARANTHLANE_LOGGING_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "common/boot_clock.h"

// Structured logging: one event per line, as a JSON object on standard output. Callers never pass secrets. When the
// reader of the output falls behind, lines are dropped and counted, so that logging never blocks the process. A line
// has at most PIPE_BUF bytes: long values are cut, with their size, and fields that don't fit are left out and counted.
namespace amaranthlane::logging {

enum class Level : std::uint8_t { kDebug, kInfo, kWarning, kError };

// A key and its value in a log line.
struct Field {
  Field(std::string_view name, std::string_view text) : name(name), text(text) {}
  Field(std::string_view name, const char* text) : name(name), text(text) {}
  Field(std::string_view name, const std::string& text) : name(name), text(text) {}
  template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
  Field(std::string_view name, Number number) : name(name), text(std::to_string(number)), quoted(false) {}

  std::string_view name;
  std::string text;
  bool quoted = true;
};

// Sets up logging for this process. Each line contains `vm`; lines below `level` (debug, info, warning or error) are
// not written.
void Initialize(std::string_view vm, std::string_view level);

// Writes one line. `event` is a short text that says what happened.
void Write(Level level, std::string_view event, std::initializer_list<Field> fields = {});

// A token bucket that limits the log lines of one kind: a burst, then a steady rate. Suppressed lines are counted.
class RateLimiter {
 public:
  RateLimiter(double lines_per_second, double max_burst_lines);

  // Returns true if a line may be written at `now`; otherwise counts the line as suppressed.
  bool Admit(TimePoint now);
  // Returns the number of lines suppressed since the last call.
  std::uint64_t TakeSuppressedCount();

 private:
  double lines_per_second;
  double max_burst_lines;
  double available_lines;
  TimePoint refilled_at;
  std::uint64_t suppressed = 0;
};

}  // namespace amaranthlane::logging

#endif  // AMARANTHLANE_LOGGING_LOG_H_
