
#include <cstdlib>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>

#include "closed_loop.h"
#include "common/error.h"

// Measures the throughput and latency of a VM's callers' interface, of an endpoint called directly, or of floor_server,
// which only echoes bodies. The differences show what the path through a VM adds. scripts/measure_path.py starts the
// processes.
namespace amaranthlane::benchmarks {
namespace {

using Json = nlohmann::json;

constexpr std::uint64_t kSerialRequests = 5000;
constexpr std::uint64_t kParallelRequests = 60000;
constexpr std::uint64_t kWarmUp = 1000;
constexpr std::size_t kParallelConnections = 64;

struct Arguments {
  std::string name;
  std::string address;
  // `caller`, `endpoint` or `floor`.
  std::string target_kind;
  std::string mode = "read";
};

std::string Statement(const std::string& mode, std::uint64_t number) {
  if (mode == "read") {
    return R"({"op":"get","key":"benchmark"})";
  }
  return R"({"op":"put","key":"benchmark-)" + std::to_string(number % 1000) + R"(","value":"x"})";
}

net::HttpRequest CallerRequest(const std::string& mode, std::uint64_t number, const std::string& run) {
  net::HttpRequest request{"POST", "/v1/groups/wrap-register-1/statements", {}, {}};
  request.headers.push_back({"Authorization", "Bearer example-key-maker"});
  if (mode == "write") {
    request.headers.push_back({"Idempotency-Key", run + "-" + std::to_string(number)});
  }
  request.body = R"({"kind":"benchmark","mode":")" + mode + R"(","statement":)" + Statement(mode, number) + "}";
  return request;
}

net::HttpRequest EndpointRequest(const std::string& mode, std::uint64_t number, const std::string& run) {
  net::HttpRequest request{"POST", "/v1/statement", {}, {}};
  request.body =
      R"({"request_id":")" + std::to_string(number) + R"(","term":1,"mode":")" + mode + R"(","autocommit":true,)";
  if (mode == "write") {
    request.body += R"("idempotency_key":")" + run + "-" + std::to_string(number) + R"(",)";
  }
  request.body += R"("statement":)" + Statement(mode, number) + "}";
  return request;
}

net::HttpRequest FloorRequest(std::uint64_t /*number*/) {
  return net::HttpRequest{"POST", "/", {}, std::string(200, 'x')};
}

Json Measure(const Arguments& arguments, std::size_t connections, std::uint64_t requests) {
  ClosedLoopPlan plan;
  plan.target = net::ParseAddress(arguments.address);
  plan.connections = connections;
  plan.warm_up = kWarmUp;
  plan.requests = requests;
  const std::string run = arguments.name + std::to_string(connections);
  plan.request = [&arguments, &run](std::uint64_t number) {
    if (arguments.target_kind == "caller") {
      return CallerRequest(arguments.mode, number, run);
    }
    if (arguments.target_kind == "endpoint") {
      return EndpointRequest(arguments.mode, number, run);
    }
    return FloorRequest(number);
  };
  const ClosedLoopResult result = RunClosedLoop(plan);
  const auto to_us = [](std::chrono::nanoseconds duration) {
    return std::chrono::duration<double, std::micro>(duration).count();
  };
  return Json{{"connections", connections},
              {"requests_per_second", result.RequestsPerSecond()},
              {"p50_us", to_us(result.latency.Quantile(0.5))},
              {"p99_us", to_us(result.latency.Quantile(0.99))},
              {"failures", result.failures}};
}

int Main(int argc, const char** argv) {
  if (argc != 5) {
    std::cerr << "usage: path_benchmark NAME IP:PORT caller|endpoint|floor read|write\n";
    return 2;
  }
  try {
    const Arguments arguments{argv[1], argv[2], argv[3], argv[4]};
    const Json report{{"name", arguments.name},
                      {"mode", arguments.mode},
                      {"serial", Measure(arguments, 1, kSerialRequests)},
                      {"parallel", Measure(arguments, kParallelConnections, kParallelRequests)}};
    std::cout << report.dump() << '\n';
    return EXIT_SUCCESS;
  } catch (const Error& failure) {
    std::cerr << failure.what() << '\n';
    return EXIT_FAILURE;
  }
}

}  // namespace
}  // namespace amaranthlane::benchmarks

int main(int argc, char** argv) { return amaranthlane::benchmarks::Main(argc, const_cast<const char**>(argv)); }
