#ifndef AMARANTHLANE_LOGGING_LOG_H_
#define AMARANTHLANE_LOGGING_LOG_H_

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <type_traits>

#include "common/boot_clock.h"

// Structured logs: one event a line, as a JSON object on standard output. Secrets are never passed in. Where the reader
// of the output falls behind, lines are dropped and counted; the process never waits for it.
namespace amaranthlane::logging {

enum class Level : std::uint8_t { kDebug, kInfo, kWarning, kError };

// One member of a log line.
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

// Sets up the log of this process. `vm` stands in each line; lines below `level` (debug, info, warning or error) are
// dropped.
void Start(std::string_view vm, std::string_view level);

// Writes one line. `event` says in plain words what happened.
void Write(Level level, std::string_view event, std::initializer_list<Field> fields = {});

// Bounds the lines of one kind: a burst, then a steady rate. What is left out is counted.
class Budget {
 public:
  Budget(double lines_per_second, double max_burst_lines);

  // True when one more line may be written at `now`.
  bool Admit(TimePoint now);
  // The lines left out since the last call.
  std::uint64_t TakeSuppressed();

 private:
  double lines_per_second;
  double max_burst_lines;
  double available_lines;
  TimePoint refilled_at;
  std::uint64_t suppressed = 0;
};

}  // namespace amaranthlane::logging

#endif  // AMARANTHLANE_LOGGING_LOG_H_
