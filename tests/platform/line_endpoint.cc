#include "platform/line_endpoint.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <utility>

namespace amaranthlane::platform {

namespace {

using boost::asio::ip::tcp;

constexpr std::string_view kQuery = "QUERY ";

}  // namespace

LineEndpoint::LineEndpoint(boost::asio::io_context& loop)
    : acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)) {
  this->Accept();
}

LineEndpoint::~LineEndpoint() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& connection : this->connections) {
    connection->socket.close(ignored);
  }
}

std::string LineEndpoint::Address() const {
  return "127.0.0.1:" + std::to_string(this->acceptor.local_endpoint().port());
}

std::vector<std::string> LineEndpoint::Streams() const {
  std::vector<std::string> streams;
  for (const auto& connection : this->connections) {
    streams.push_back(connection->received);
  }
  return streams;
}

void LineEndpoint::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    if (error) {
      return;
    }
    this->connections.push_back(std::make_shared<Connection>(std::move(socket)));
    this->Read(this->connections.back());
    this->Accept();
  });
}

void LineEndpoint::Read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      boost::asio::buffer(connection->read_buffer),
      [this, connection](boost::system::error_code error, std::size_t size) {
        if (error) {
          return;
        }
        connection->received.append(connection->read_buffer.data(), size);
        std::string answers;
        for (std::size_t end = connection->received.find("\r\n", connection->handled); end != std::string::npos;
             end = connection->received.find("\r\n", connection->handled)) {
          const std::string_view received = connection->received;
          answers += this->Answer(*connection, received.substr(connection->handled, end - connection->handled));
          connection->handled = end + 2;
        }
        boost::system::error_code ignored;
        boost::asio::write(connection->socket, boost::asio::buffer(answers), ignored);
        this->Read(connection);
      });
}

std::string LineEndpoint::Answer(Connection& connection, std::string_view line) const {
  std::string answer;
  if (line.starts_with(kQuery)) {
    line.remove_prefix(kQuery.size());
    std::string_view text = line.substr(std::min(line.find(' ') + 1, line.size()));
    if (text.starts_with("WAITPOS ")) {
      text.remove_prefix(std::min(text.find(' ', std::string_view("WAITPOS ").size()) + 1, text.size()));
    }
    if (text == "STATUS") {
      answer = "ROW primary 1 1.0 0 0 0 1\r\n";
    } else if (text.starts_with("READ ") || text.starts_with("EXECUTE r_")) {
      answer = this->rows;
    } else if (text.starts_with("BEGIN")) {
      connection.in_transaction = true;
    } else if (text == "COMMIT" || text == "ROLLBACK") {
      connection.in_transaction = false;
    }
    answer += "COMPLETE 7.1f\r\n";
  }
  return answer + "READY " + (connection.in_transaction ? "T" : "I") + " 1.0\r\n";
}

}  // namespace amaranthlane::platform
