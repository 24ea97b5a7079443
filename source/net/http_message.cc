#include "net/http_message.h"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <cctype>

namespace amaranthlane::net {

namespace {

constexpr std::string_view kHexDigits = "0123456789ABCDEF";

std::optional<unsigned> HexValue(char digit) {
  const std::size_t value = kHexDigits.find(static_cast<char>(std::toupper(static_cast<unsigned char>(digit))));
  if (value == std::string_view::npos) {
    return std::nullopt;
  }
  return static_cast<unsigned>(value);
}

std::size_t WireSize(const std::vector<HttpHeader>& headers) {
  // The colon, the space and CRLF.
  constexpr std::size_t kSeparatorBytes = 4;
  std::size_t bytes = 0;
  for (const HttpHeader& header : headers) {
    bytes += header.name.size() + header.value.size() + kSeparatorBytes;
  }
  return bytes;
}

constexpr std::string_view kTokenSymbols = "!#$%&'*+-.^_`|~";
// Longer values don't fit into a header of the HTTP library.
constexpr std::size_t kMaxHeaderBytes = 32U << 10U;
constexpr unsigned kMinFinalStatus = 200;
constexpr unsigned kMaxStatus = 599;
// The headers that HttpConnection and HttpServer write themselves, and those that belong to one connection only.
constexpr std::array<std::string_view, 10> kFramingHeaders = {
    "connection", "content-length", "content-type", "host",   "keep-alive",
    "te",         "trailer",        "upgrade",      "expect", "transfer-encoding"};

bool EqualsIgnoringCase(std::string_view left, std::string_view right) {
  return boost::beast::iequals(boost::beast::string_view(left.data(), left.size()),
                               boost::beast::string_view(right.data(), right.size()));
}

bool IsVisibleAscii(char character) { return character > ' ' && character <= '~'; }

bool IsTokenCharacter(char character) {
  return IsVisibleAscii(character) && (std::isalnum(static_cast<unsigned char>(character)) != 0 ||
                                       kTokenSymbols.find(character) != std::string_view::npos);
}

bool IsToken(std::string_view text) {
  return !text.empty() && text.size() <= kMaxHeaderBytes && std::all_of(text.begin(), text.end(), IsTokenCharacter);
}

bool IsTarget(std::string_view text) {
  return text.starts_with('/') && std::all_of(text.begin(), text.end(), IsVisibleAscii) &&
         text.find('#') == std::string_view::npos;
}

bool IsBlank(char character) { return character == ' ' || character == '\t'; }

bool IsHeaderValueCharacter(char character) {
  constexpr char kDelete = '\x7f';
  return character == '\t' || (static_cast<unsigned char>(character) >= ' ' && character != kDelete);
}

bool IsHeaderValue(std::string_view text) {
  if (text.empty()) {
    return true;
  }
  return !IsBlank(text.front()) && !IsBlank(text.back()) && text.size() <= kMaxHeaderBytes &&
         std::all_of(text.begin(), text.end(), IsHeaderValueCharacter);
}

std::optional<MessagePart> FindInvalidPart(const std::vector<HttpHeader>& headers) {
  for (const HttpHeader& header : headers) {
    if (!IsToken(header.name) || IsFramingHeader(header.name)) {
      return MessagePart::kHeaderName;
    }
    if (!IsHeaderValue(header.value)) {
      return MessagePart::kHeaderValue;
    }
  }
  return std::nullopt;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] == '%' && index + 2 < text.size()) {
      const std::optional<unsigned> high = HexValue(text[index + 1]);
      const std::optional<unsigned> low = HexValue(text[index + 2]);
      if (high && low) {
        decoded.push_back(static_cast<char>(*high * 16 + *low));
        index += 2;
        continue;
      }
    }
    decoded.push_back(text[index]);
  }
  return decoded;
}

}  // namespace

std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (EqualsIgnoringCase(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

bool IsFramingHeader(std::string_view name) {
  return std::any_of(kFramingHeaders.begin(), kFramingHeaders.end(),
                     [name](std::string_view framing) { return EqualsIgnoringCase(framing, name); });
}

std::string_view MessagePartName(MessagePart part) {
  static constexpr std::array<std::string_view, 5> kNames = {"method", "target", "header name", "header value",
                                                             "status"};
  return kNames.at(static_cast<std::size_t>(part));
}

std::optional<MessagePart> FindInvalidPart(const HttpRequest& request) {
  const std::optional<MessagePart> invalid = FindInvalidReceivedPart(request);
  return invalid ? invalid : FindInvalidPart(request.headers);
}

std::optional<MessagePart> FindInvalidReceivedPart(const HttpRequest& request) {
  if (!IsToken(request.method)) {
    return MessagePart::kMethod;
  }
  if (!IsTarget(request.target)) {
    return MessagePart::kTarget;
  }
  const bool named = std::all_of(request.headers.begin(), request.headers.end(),
                                 [](const HttpHeader& header) { return IsToken(header.name); });
  return named ? std::nullopt : std::optional(MessagePart::kHeaderName);
}

std::optional<MessagePart> FindInvalidPart(const HttpResponse& response) {
  if (response.status < kMinFinalStatus || response.status > kMaxStatus) {
    return MessagePart::kStatus;
  }
  if (!IsHeaderValue(response.content_type)) {
    return MessagePart::kHeaderValue;
  }
  return FindInvalidPart(response.headers);
}

std::size_t WireSize(const HttpRequest& request) {
  constexpr std::string_view kFixedPart = "  HTTP/1.1\r\n\r\n";
  return request.method.size() + request.target.size() + kFixedPart.size() + WireSize(request.headers) +
         request.body.size();
}

std::size_t WireSize(const HttpResponse& response) {
  constexpr std::string_view kFixedPart =
      "HTTP/1.1 200 \r\nConnection: keep-alive\r\nContent-Length: \r\nContent-Type: \r\n\r\n";
  return kFixedPart.size() + std::to_string(response.body.size()).size() + response.content_type.size() +
         WireSize(response.headers) + response.body.size();
}

std::string_view TargetPath(std::string_view target) { return target.substr(0, target.find('?')); }

std::vector<std::string> PathSegments(std::string_view path) {
  std::vector<std::string> segments;
  std::size_t start = 0;
  while (start < path.size()) {
    if (path[start] == '/') {
      ++start;
      continue;
    }
    const std::size_t end = std::min(path.find('/', start), path.size());
    segments.push_back(PercentDecode(path.substr(start, end - start)));
    start = end;
  }
  return segments;
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  std::size_t start = target.find('?');
  while (start != std::string_view::npos && start + 1 <= target.size()) {
    const std::string_view rest = target.substr(start + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? std::string() : PercentDecode(pair.substr(equals + 1));
    }
    start = target.find('&', start + 1);
  }
  return {};
}

std::string EncodePathSegment(std::string_view text) {
  std::string encoded;
  for (const char character : text) {
    const auto byte = static_cast<unsigned char>(character);
    if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.' || character == '~') {
      encoded.push_back(character);
      continue;
    }
    encoded.push_back('%');
    encoded.push_back(kHexDigits[byte / 16]);
    encoded.push_back(kHexDigits[byte % 16]);
  }
  return encoded;
}

}  // namespace amaranthlane::net
