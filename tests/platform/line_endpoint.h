#ifndef AMARANTHLANE_TESTS_PLATFORM_LINE_ENDPOINT_H_
#define AMARANTHLANE_TESTS_PLATFORM_LINE_ENDPOINT_H_

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthlane::platform {

// The primary of a group, on the test's event loop. It speaks the platform's wire protocol, keeps every byte that it
// receives, and answers each message that ends with CR LF. It has one row, whose text the test may change.
class LineEndpoint {
 public:
  explicit LineEndpoint(boost::asio::io_context& loop);
  ~LineEndpoint();

  std::string Address() const;
  // The bytes received on each connection so far.
  std::vector<std::string> Streams() const;

  // What it sends for a READ before COMPLETE.
  std::string rows = "ROW x\r\n";

 private:
  struct Connection {
    explicit Connection(boost::asio::ip::tcp::socket socket) : socket(std::move(socket)) {}
    boost::asio::ip::tcp::socket socket;
    std::array<char, 4096> read_buffer{};
    std::string received;
    std::size_t handled = 0;
    bool in_transaction = false;
  };

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  std::string Answer(Connection& connection, std::string_view line) const;

  boost::asio::ip::tcp::acceptor acceptor;
  std::list<std::shared_ptr<Connection>> connections;
};

}  // namespace amaranthlane::platform

#endif  // AMARANTHLANE_TESTS_PLATFORM_LINE_ENDPOINT_H_
