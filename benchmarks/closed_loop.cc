#include "closed_loop.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "common/boot_clock.h"
#include "net/http_connection.h"

namespace amaranthlane::benchmarks {

namespace {

constexpr std::chrono::seconds kRequestTimeout{10};
constexpr unsigned kStatusOk = 200;

// The clients of one run, one per connection.
class ClosedLoopClients {
 public:
  ClosedLoopClients(boost::asio::io_context& loop, const ClosedLoopPlan& plan) : plan(plan) {
    for (std::size_t index = 0; index < plan.connections; ++index) {
      this->connections.push_back(std::make_shared<net::HttpConnection>(loop, plan.target));
    }
  }

  void Start() {
    for (const auto& connection : this->connections) {
      this->SendNext(connection);
    }
  }

  ClosedLoopResult result;
  TimePoint measured_from = kNever;

 private:
  void SendNext(const std::shared_ptr<net::HttpConnection>& connection) {
    if (this->sent >= this->plan.warm_up + this->plan.requests) {
      connection->Close();
      return;
    }
    const std::uint64_t sequence_number = this->sent++;
    const TimePoint started_at = BootClock::now();
    if (sequence_number == this->plan.warm_up) {
      this->measured_from = started_at;
    }
    connection->Call(this->plan.request(sequence_number), started_at + kRequestTimeout,
                     [this, connection, sequence_number, started_at](const net::CallResult& call_result) {
                       if (sequence_number >= this->plan.warm_up) {
                         this->result.latency.Add(BootClock::now() - started_at);
                         const bool succeeded = call_result.status == net::CallStatus::kAnswered &&
                                                call_result.response.status == kStatusOk;
                         this->result.failures += succeeded ? 0 : 1;
                       }
                       if (connection->Usable()) {
                         this->SendNext(connection);
                       }
                     });
  }

  const ClosedLoopPlan& plan;
  std::vector<std::shared_ptr<net::HttpConnection>> connections;
  std::uint64_t sent = 0;
};

}  // namespace

double ClosedLoopResult::RequestsPerSecond() const {
  return static_cast<double>(this->latency.Count()) / std::chrono::duration<double>(this->elapsed).count();
}

ClosedLoopResult RunClosedLoop(const ClosedLoopPlan& plan) {
  boost::asio::io_context loop(1);
  ClosedLoopClients clients(loop, plan);
  clients.Start();
  loop.run();
  clients.result.elapsed = BootClock::now() - clients.measured_from;
  return clients.result;
}

}  // namespace amaranthlane::benchmarks
