#ifndef AMARANTHLANE_FUZZ_ROUND_TRIP_H_
#define AMARANTHLANE_FUZZ_ROUND_TRIP_H_

#include <stdexcept>
#include <string_view>

#include "common/json.h"

namespace amaranthlane::fuzz {

inline void RequireUnchanged(bool unchanged) {
  if (!unchanged) {
    throw std::logic_error("the message changed when serialized and parsed again");
  }
}

// Parses the text, serializes the message and parses it again. Throws std::logic_error when the messages differ.
template <auto parse>
void RoundTrip(std::string_view text) {
  const auto message = parse(json::Parse(text, "fuzz"));
  RequireUnchanged(parse(ToJson(message)) == message);
}

template <auto parse>
void ParseOnly(std::string_view text) {
  parse(json::Parse(text, "fuzz"));
}

}  // namespace amaranthlane::fuzz

#endif  // AMARANTHLANE_FUZZ_ROUND_TRIP_H_
