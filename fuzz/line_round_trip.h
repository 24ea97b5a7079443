#ifndef AMARANTHLANE_FUZZ_LINE_ROUND_TRIP_H_
#define AMARANTHLANE_FUZZ_LINE_ROUND_TRIP_H_

#include <string_view>

// Compares the messages of one side of the proxy with those that it sends to the other side, as any reader may read
// them. Both functions take the whole stream that a side has sent.
namespace amaranthlane::fuzz {

// Reads a caller's stream and encodes each accepted statement for an endpoint: by itself, with a position, and as
// session state that is restored. Throws std::logic_error if the caller didn't send that statement, or if any reader
// of an endpoint finds another message, or more than one. Throws ParseError if the stream holds a malformed message or
// no complete one.
void RoundTripCallersLines(std::string_view stream);

// Reads an endpoint's stream. Throws std::logic_error if what is forwarded of it isn't one message for each reader of a
// caller. Throws ParseError if the stream holds a malformed message or no complete one.
void RoundTripEndpointsLines(std::string_view stream);

}  // namespace amaranthlane::fuzz

#endif  // AMARANTHLANE_FUZZ_LINE_ROUND_TRIP_H_
