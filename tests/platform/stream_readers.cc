#include "platform/stream_readers.h"

#include <algorithm>

namespace amaranthlane::platform {

namespace {

using std::literals::string_view_literals::operator""sv;

constexpr std::string_view kQuery = "QUERY ";

}  // namespace

std::vector<std::string_view> ReadMessages(std::string_view stream, const Terminators& terminators) {
  std::vector<std::string_view> messages;
  while (!stream.empty()) {
    std::size_t end = std::string_view::npos;
    std::size_t terminator_length = 0;
    for (const std::string_view terminator : terminators) {
      const std::size_t found = stream.find(terminator);
      if (found < end) {
        end = found;
        terminator_length = terminator.size();
      }
    }
    if (end == std::string_view::npos) {
      break;
    }
    messages.push_back(stream.substr(0, end));
    stream.remove_prefix(end + terminator_length);
  }
  return messages;
}

std::vector<SentStatement> ReadStatements(std::string_view stream, const Terminators& terminators) {
  std::vector<SentStatement> statements;
  for (std::string_view message : ReadMessages(stream, terminators)) {
    if (!message.starts_with(kQuery)) {
      continue;
    }
    message.remove_prefix(kQuery.size());
    const std::size_t blank = std::min(message.find(' '), message.size());
    statements.push_back(
        {std::string(message.substr(0, blank)), std::string(message.substr(std::min(blank + 1, message.size())))});
  }
  return statements;
}

const Terminators& StrictReader() { return StreamReaders().front(); }

const std::vector<Terminators>& StreamReaders() {
  static const std::vector<Terminators> readers = {
      {"\r\n"sv},
      {"\r\n"sv, "\n"sv},
      {"\r\n"sv, "\r"sv, "\n"sv},
      {"\r\n"sv, "\0"sv},
      {"\r\n"sv, "\r"sv, "\n"sv, "\v"sv, "\f"sv, "\x1c"sv, "\x1d"sv, "\x1e"sv},
  };
  return readers;
}

}  // namespace amaranthlane::platform
