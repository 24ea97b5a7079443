#include "stand_ins/fault_proxy/route.h"

#include <utility>
#include <vector>

#include "stand_ins/common/errors.h"
#include "stand_ins/common/http_server.h"
#include "stand_ins/common/http_target.h"

namespace amaranthlane::stand_ins {

namespace {

using boost::asio::ip::tcp;

constexpr std::size_t kRouteFields = 4;

std::string FormatAddress(const tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace

RouteSettings ParseRouteSettings(const std::string& text, const std::string& listen_ip) {
  const std::vector<std::string> parts = Split(text, ':');
  if (parts.size() != kRouteFields) {
    throw CommandLineError("route", "expected NAME:LISTEN_PORT:TARGET_IP:PORT");
  }
  return {parts[0], ParseAddress(listen_ip + ":" + parts[1]), ParseAddress(parts[2] + ":" + parts[3])};
}

Route::Route(boost::asio::io_context& io, RouteSettings settings) : settings(std::move(settings)), acceptor(io) {
  this->Listen();
}

void Route::Listen() {
  this->acceptor.open(this->settings.listen.protocol());
  this->acceptor.set_option(tcp::acceptor::reuse_address(true));
  this->acceptor.bind(this->settings.listen);
  this->acceptor.listen();
  this->Accept();
}

void Route::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error, tcp::socket socket) {
    // An accept may complete after the route was cut.
    if (error == boost::asio::error::operation_aborted || !this->acceptor.is_open()) {
      return;
    }
    if (!error) {
      this->StartLink(std::move(socket));
    }
    this->Accept();
  });
}

void Route::StartLink(tcp::socket socket) {
  const std::uint64_t id = ++this->state.accepted;
  const auto link = std::make_shared<Link>(std::move(socket), this->state, [this, id] { this->links.erase(id); });
  this->links.emplace(id, link);
  if (this->state.faults.FaultFor(link->ClientIp()).mode == FaultMode::kCut) {
    link->Close();
    return;
  }
  link->Start(this->settings.target);
}

void Route::SetFault(const FaultRequest& request) {
  if (request.client_ip.empty()) {
    this->state.faults = RouteFaults{request.fault, {}};
  } else {
    this->state.faults.by_client_ip[request.client_ip] = request.fault;
  }
  if (this->state.faults.default_fault.mode == FaultMode::kCut) {
    this->acceptor.close();
  } else if (!this->acceptor.is_open()) {
    this->Listen();
  }
  this->ApplyToOpenLinks(request.fault, request.client_ip);
}

void Route::ApplyToOpenLinks(const Fault& fault, const std::string& client_ip) {
  const std::map<std::uint64_t, std::shared_ptr<Link>> open_links = this->links;
  for (const auto& [id, link] : open_links) {
    if (!client_ip.empty() && link->ClientIp() != client_ip) {
      continue;
    }
    if (fault.mode == FaultMode::kCut) {
      link->Close();
      continue;
    }
    if (fault.mode == FaultMode::kSilentOpen) {
      link->StartDiscarding();
    }
    link->Resume();
  }
}

void Route::SetResponsesToDrop(ResponsesToDrop responses_to_drop) {
  this->state.responses_to_drop = std::move(responses_to_drop);
}

nlohmann::json Route::ToJson() const {
  return {{"name", this->settings.name},
          {"listen", FormatAddress(this->settings.listen)},
          {"target", FormatAddress(this->settings.target)},
          {"mode", ModeName(this->state.faults.default_fault.mode)},
          {"delay_ms", this->state.faults.default_fault.delay.count()},
          {"bytes", this->state.faults.default_fault.max_response_bytes},
          {"answers_to_lose", this->state.responses_to_drop.count},
          {"open", this->links.size()},
          {"accepted", this->state.accepted},
          {"bytes_to_target", this->state.bytes_to_target},
          {"bytes_to_client", this->state.bytes_to_client}};
}

}  // namespace amaranthlane::stand_ins
