#ifndef AMARANTHLANE_TESTS_PLATFORM_STREAM_READERS_H_
#define AMARANTHLANE_TESTS_PLATFORM_STREAM_READERS_H_

#include <string>
#include <string_view>
#include <vector>

// Reads streams of the platform's wire protocol without the codec, in each way in which the other side may do so.
namespace amaranthlane::platform {

// The byte sequences at which a reader ends a message. The longest of those that begin at one place stands first.
using Terminators = std::vector<std::string_view>;

// One statement that an endpoint was asked to run.
struct SentStatement {
  std::string id;
  std::string text;

  bool operator==(const SentStatement&) const = default;
};

// The complete messages of a stream, without their terminators.
std::vector<std::string_view> ReadMessages(std::string_view stream, const Terminators& terminators);

// The statements among the messages of a stream.
std::vector<SentStatement> ReadStatements(std::string_view stream, const Terminators& terminators);

// The page's own reader, which ends a message at CR LF only.
const Terminators& StrictReader();

// The readers that an endpoint or a caller may use: the page's own, and lenient ones. Each must find the same messages.
const std::vector<Terminators>& StreamReaders();

}  // namespace amaranthlane::platform

#endif  // AMARANTHLANE_TESTS_PLATFORM_STREAM_READERS_H_
