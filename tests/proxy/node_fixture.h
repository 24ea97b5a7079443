#ifndef AMARANTHLANE_TESTS_PROXY_NODE_FIXTURE_H_
#define AMARANTHLANE_TESTS_PROXY_NODE_FIXTURE_H_

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "proxy/fake_endpoint.h"
#include "proxy/in_memory_platform.h"
#include "proxy/node.h"

namespace amaranthlane::proxy {

// A caller on the test's event loop.
class TestCaller {
 public:
  TestCaller(boost::asio::io_context& loop, const std::string& address);

  void Send(const std::string& line);
  // Everything that was received since the last call.
  std::string TakeReceived();

  // Sends a statement as soon as the last one has been answered, until the session is closed.
  void SendWithoutPause(const std::function<std::string()>& line);

  std::string received;
  std::size_t ready_count = 0;
  bool closed = false;

 private:
  void Read();

  boost::asio::ip::tcp::socket socket;
  std::function<std::string()> next_line;
  std::array<char, 4096> read_buffer{};
};

// The nodes of some VMs, a group of three endpoints, and the store, all on one event loop. The databases are `exact`
// (reads of the primary), `bounded` (reads up to 1.5 s old) and `own` (the same, with the session's own writes).
class NodeFixture : public testing::Test {
 protected:
  explicit NodeFixture(std::size_t vms = 3);
  ~NodeFixture() override;

  // Runs the event loop until `done` returns true, for ten seconds at most. Returns whether it did.
  bool RunUntil(const std::function<bool()>& done);
  void RunFor(std::chrono::milliseconds time);
  void AddVm();
  // Replaces all endpoints by new ones.
  void StartEndpoints(const std::vector<EndpointName>& names);
  void PublishEndpoints();
  std::unique_ptr<TestCaller> Open(std::size_t vm, const std::string& database);
  // Sends a line and waits for the complete answer, which it returns.
  std::string SendAndWait(TestCaller& caller, const std::string& line);
  FakeEndpoint& Primary();
  bool IsMember(std::size_t vm) const;
  std::size_t NonMember() const;

  boost::asio::io_context loop;
  TestCodec codec;
  InMemoryStore store;
  FakeGroup group;
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  struct Vm {
    Settings settings;
    std::unique_ptr<InMemoryPlatform> platform;
    std::unique_ptr<Node> node;
  };
  std::vector<Vm> vms;
};

// A fleet with more VMs than members.
class LargeFleetTest : public NodeFixture {
 protected:
  LargeFleetTest() : NodeFixture(7) {}
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_TESTS_PROXY_NODE_FIXTURE_H_
