#ifndef AMARANTHLANE_NET_HTTP_MESSAGE_H_
#define AMARANTHLANE_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// HTTP messages in types that do not depend on the HTTP libraries.
namespace amaranthlane::net {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Returns the value of the first header named `name` (case-insensitive), or an empty view.
std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  // The path and query string, as sent.
  std::string target;
  std::vector<HttpHeader> headers;
  std::string body;
};

struct HttpResponse {
  unsigned status = 200;
  std::vector<HttpHeader> headers;
  std::string content_type = "application/json";
  std::string body;
};

// True for a header that says where a message ends or that concerns one connection only (case-insensitive).
bool IsFramingHeader(std::string_view name);

// A part of a message that stands outside of its body. Readers disagree on which bytes end such a part.
enum class MessagePart : std::uint8_t { kMethod, kTarget, kHeaderName, kHeaderValue, kStatus };

// The part's name in logs.
std::string_view MessagePartName(MessagePart part);

// The first part that could change what a reader takes the message for; nullopt if there is none. A method and a
// header name are tokens of RFC 9110. A target is a path with an optional query, in visible ASCII. A header value holds
// no control character but tabs, and doesn't begin or end with a blank. No header may frame the message: the connection
// writes those headers itself. A status is a final one, 200 to 599.
std::optional<MessagePart> FindInvalidPart(const HttpRequest& request);
std::optional<MessagePart> FindInvalidPart(const HttpResponse& response);

// The same for a request that was read from a connection: its framing headers are the sender's, and the parser has
// delimited its header values.
std::optional<MessagePart> FindInvalidReceivedPart(const HttpRequest& request);

// The size in bytes of a message on an HTTP/1.1 connection, headers included. The size of a response includes the
// headers that HttpServer adds on a keep-alive connection.
std::size_t WireSize(const HttpRequest& request);
std::size_t WireSize(const HttpResponse& response);

// The path of a request target, without the query string.
std::string_view TargetPath(std::string_view target);

// The segments of a path, percent-decoded. Empty segments are skipped.
std::vector<std::string> PathSegments(std::string_view path);

// The value of a query parameter, percent-decoded; empty if the parameter is missing.
std::string QueryParameter(std::string_view target, std::string_view name);

// Percent-encodes `text` as one path segment.
std::string EncodePathSegment(std::string_view text);

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_HTTP_MESSAGE_H_
