#include "closed_loop.h"

#include <boost/asio/io_context.hpp>
#include <memory>
#include <vector>

#include "common/boot_clock.h"
#include "net/http_connection.h"

namespace amaranthlane::benchmarks {

namespace {

constexpr std::chrono::seconds kRequestLimit{10};
constexpr unsigned kStatusOk = 200;

// The clients of one run.
class Clients {
 public:
  Clients(boost::asio::io_context& loop, const ClosedLoopPlan& plan) : plan(plan) {
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
    const std::uint64_t number = this->sent++;
    const TimePoint now = BootClock::now();
    if (number == this->plan.warm_up) {
      this->measured_from = now;
    }
    connection->Call(this->plan.request(number), now + kRequestLimit,
                     [this, connection, number, now](const net::CallResult& answer) {
                       if (number >= this->plan.warm_up) {
                         this->result.latency.Add(BootClock::now() - now);
                         const bool good =
                             answer.status == net::CallStatus::kAnswered && answer.response.status == kStatusOk;
                         this->result.failures += good ? 0 : 1;
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
  Clients clients(loop, plan);
  clients.Start();
  loop.run();
  clients.result.elapsed = BootClock::now() - clients.measured_from;
  return clients.result;
}

}  // namespace amaranthlane::benchmarks
