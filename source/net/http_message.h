#ifndef AMARANTHLANE_NET_HTTP_MESSAGE_H_
#define AMARANTHLANE_NET_HTTP_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

// HTTP messages as the daemons see them, independent of the libraries that carry them.
namespace amaranthlane::net {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Returns the value of the first header called `name` (letter case ignored), or an empty view.
std::string_view FindHeader(const std::vector<HttpHeader>& headers, std::string_view name);

struct HttpRequest {
  std::string method;
  // The path with its query, as sent.
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

// The bytes of a message on an HTTP/1.1 connection, headers included. An answer is counted with the headers that
// HttpServer adds on a connection that is kept open.
std::size_t WireBytes(const HttpRequest& request);
std::size_t WireBytes(const HttpResponse& response);

// The path of a target, without its query.
std::string_view TargetPath(std::string_view target);

// The parts of a path between its slashes, percent-decoded.
std::vector<std::string> PathSegments(std::string_view path);

// The value of one query parameter, percent-decoded; empty when it isn't there.
std::string QueryParameter(std::string_view target, std::string_view name);

// Encodes `text` as one segment of a path.
std::string EncodePathSegment(std::string_view text);

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_HTTP_MESSAGE_H_
