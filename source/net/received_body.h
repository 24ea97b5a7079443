#ifndef AMARANTHLANE_NET_RECEIVED_BODY_H_
#define AMARANTHLANE_NET_RECEIVED_BODY_H_

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace amaranthlane::net {

// Receives the body of a message in parts, as they arrive. Runs on the event loop's thread and must not throw.
using BodySink = std::function<void(std::string_view part)>;

// A body of Boost.Beast that is collected as text, or passed on in parts if there is a sink.
struct ReceivedBody {
  struct value_type {  // NOLINT: Boost.Beast's name
    std::string text;
    BodySink sink;
  };

  class reader {  // NOLINT: Boost.Beast's name
   public:
    template <bool is_request, typename Fields>
    reader(boost::beast::http::header<is_request, Fields>& /*header*/, value_type& body) : body(body) {}

    void init(const boost::optional<std::uint64_t>& length, boost::beast::error_code& error) {  // NOLINT: as above
      error = {};
      if (length && !this->body.sink) {
        this->body.text.reserve(static_cast<std::size_t>(std::min<std::uint64_t>(*length, kMaxReservedBytes)));
      }
    }

    template <typename Buffers>
    std::size_t put(const Buffers& parts, boost::beast::error_code& error) {  // NOLINT: as above
      error = {};
      std::size_t bytes = 0;
      for (const boost::asio::const_buffer part : boost::beast::buffers_range_ref(parts)) {
        const std::string_view text(static_cast<const char*>(part.data()), part.size());
        bytes += text.size();
        if (this->body.sink) {
          this->body.sink(text);
        } else {
          this->body.text += text;
        }
      }
      return bytes;
    }

    void finish(boost::beast::error_code& error) { error = {}; }  // NOLINT: as above

   private:
    static constexpr std::uint64_t kMaxReservedBytes = 1ULL << 20U;

    value_type& body;
  };
};

}  // namespace amaranthlane::net

#endif  // AMARANTHLANE_NET_RECEIVED_BODY_H_
