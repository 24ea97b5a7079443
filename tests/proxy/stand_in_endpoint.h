#ifndef AMARANTHLANE_TESTS_PROXY_STAND_IN_ENDPOINT_H_
#define AMARANTHLANE_TESTS_PROXY_STAND_IN_ENDPOINT_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "core/failover/endpoint_status.h"
#include "proxy/word_codec.h"

namespace amaranthlane::proxy {

// What the endpoints of a group share: the log, and who leads.
struct StandInGroup {
  GroupName name = "g";
  // The ids of committed writes, in order.
  std::vector<std::string> log;
  EndpointName primary;
  Term term = 1;
};

// A statement that an endpoint ran.
struct RanStatement {
  std::string id;
  // The connection's number, and what it held then.
  std::uint64_t connection = 0;
  std::map<std::string, std::string> values;
};

// An endpoint that speaks WordCodec's protocol on the test's event loop. Its conditions can be set at any time.
class StandInEndpoint {
 public:
  StandInEndpoint(boost::asio::io_context& loop, StandInGroup& group, EndpointName name);
  ~StandInEndpoint();

  failover::EndpointEntry Entry() const;
  // Accepts nothing any more and resets all connections.
  void Crash();
  std::size_t OpenConnections() const;

  // Takes messages and answers none.
  bool silent = false;
  // The same for these VMs only.
  std::set<std::string> silent_to;
  // Runs the next write, then breaks its connection without an answer.
  bool lose_next_answer = false;
  // Connections beyond this are refused.
  std::size_t connection_limit = SIZE_MAX;
  // A replica that doesn't advance; none: it has the whole log.
  std::optional<std::uint64_t> stuck_at;
  bool draining = false;

  std::vector<RanStatement> ran;
  std::size_t refused_reads = 0;
  std::size_t refused_connections = 0;
  std::size_t most_open = 0;

 private:
  struct Connection;

  void Accept();
  void Read(const std::shared_ptr<Connection>& connection);
  std::string Answer(Connection& connection, const std::string& line);
  std::string Forward(Connection& connection, std::istringstream& words);
  std::string Ready(const Connection& connection) const;
  LogPosition Position() const;
  bool Leads() const;

  StandInGroup& group;
  EndpointName name;
  std::string address;
  WordCodec codec;
  boost::asio::ip::tcp::acceptor acceptor;
  std::set<std::shared_ptr<Connection>> connections;
  std::uint64_t last_connection = 0;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_TESTS_PROXY_STAND_IN_ENDPOINT_H_
