#include "daemon/endpoint_link.h"

#include <utility>

namespace amaranthlane::daemon {

EndpointLink::EndpointLink(boost::asio::io_context& loop, const net::Address& address, std::size_t limit,
                           ConnectionNumbers& numbers)
    : loop(loop), address(address), limit(limit), numbers(numbers) {}

EndpointLink::~EndpointLink() {
  std::unordered_map<outcomes::ConnectionId, Entry> closing = std::exchange(this->entries, {});
  for (auto& [number, entry] : closing) {
    entry.connection->Close();
  }
}

std::optional<outcomes::ConnectionId> EndpointLink::Acquire(bool fresh) {
  while (!fresh && !this->idle.empty()) {
    const outcomes::ConnectionId number = this->idle.back();
    this->idle.pop_back();
    const auto found = this->entries.find(number);
    if (found == this->entries.end()) {
      continue;
    }
    found->second.idle = false;
    return number;
  }
  if (this->entries.size() >= this->limit && !this->idle.empty()) {
    // A fresh connection was asked for: an idle one makes room for it.
    this->Close(this->idle.back());
  }
  if (this->entries.size() >= this->limit) {
    return std::nullopt;
  }
  const outcomes::ConnectionId number = this->numbers.next++;
  this->entries[number] = Entry{std::make_shared<net::HttpConnection>(this->loop, this->address), false};
  return number;
}

void EndpointLink::Call(outcomes::ConnectionId connection, net::HttpRequest request, TimePoint deadline,
                        Callback callback) {
  const auto found = this->entries.find(connection);
  if (found == this->entries.end()) {
    callback(connection, net::CallResult{net::CallStatus::kNotSent, {}});
    return;
  }
  found->second.connection->Call(
      std::move(request), deadline,
      [this, connection, callback = std::move(callback),
       alive = std::weak_ptr<net::HttpConnection>(found->second.connection)](net::CallResult result) {
        // Close takes the entry out before the connection reports its end.
        if (!alive.expired() && this->entries.contains(connection)) {
          callback(connection, std::move(result));
        }
      });
}

void EndpointLink::Release(outcomes::ConnectionId connection) {
  const auto found = this->entries.find(connection);
  if (found == this->entries.end()) {
    return;
  }
  if (!found->second.connection->Usable() || found->second.connection->Busy()) {
    this->Close(connection);
    return;
  }
  found->second.idle = true;
  this->idle.push_back(connection);
}

void EndpointLink::Close(outcomes::ConnectionId connection) {
  const auto found = this->entries.find(connection);
  if (found == this->entries.end()) {
    return;
  }
  const std::shared_ptr<net::HttpConnection> closing = std::move(found->second.connection);
  this->entries.erase(found);
  std::erase(this->idle, connection);
  closing->Close();
}

void EndpointLink::CloseIdle() {
  for (const outcomes::ConnectionId connection : std::vector<outcomes::ConnectionId>(this->idle)) {
    this->Close(connection);
  }
}

std::vector<outcomes::ConnectionId> EndpointLink::InUse() const {
  std::vector<outcomes::ConnectionId> in_use;
  for (const auto& [number, entry] : this->entries) {
    if (!entry.idle) {
      in_use.push_back(number);
    }
  }
  return in_use;
}

bool EndpointLink::Has(outcomes::ConnectionId connection) const { return this->entries.contains(connection); }

std::size_t EndpointLink::Open() const { return this->entries.size(); }

const net::Address& EndpointLink::Target() const { return this->address; }

}  // namespace amaranthlane::daemon
