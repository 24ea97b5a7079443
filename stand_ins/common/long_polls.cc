#include "stand_ins/common/long_polls.h"

#include <boost/asio/post.hpp>
#include <vector>

namespace amaranthlane::stand_ins {

LongPolls::LongPolls(boost::asio::io_context& io) : io(io) {}

void LongPolls::Add(const HttpConnectionPtr& connection, std::chrono::milliseconds wait, TryRespond try_respond) {
  if (try_respond(wait == std::chrono::milliseconds::zero())) {
    return;
  }
  const std::uint64_t id = connection->id;
  this->polls.erase(id);
  boost::asio::steady_timer timer(this->io, wait);
  timer.async_wait([this, id](boost::system::error_code error) {
    if (!error) {
      this->Expire(id);
    }
  });
  this->polls.emplace(id, Poll{connection, std::move(try_respond), std::move(timer)});
}

void LongPolls::Notify() {
  if (this->check_scheduled || this->polls.empty()) {
    return;
  }
  this->check_scheduled = true;
  boost::asio::post(this->io, [this] { this->CheckAll(); });
}

void LongPolls::CheckAll() {
  this->check_scheduled = false;
  std::vector<std::uint64_t> ids;
  for (const auto& [id, poll] : this->polls) {
    ids.push_back(id);
  }
  for (const std::uint64_t id : ids) {
    // The poll is removed from the table during the call, because a response can close its connection and so change
    // the table.
    auto poll = this->polls.extract(id);
    if (!poll.empty() && !poll.mapped().try_respond(/*expired=*/false)) {
      this->polls.insert(std::move(poll));
    }
  }
}

void LongPolls::Expire(std::uint64_t connection_id) {
  const auto found = this->polls.find(connection_id);
  if (found == this->polls.end()) {
    return;
  }
  const TryRespond try_respond = std::move(found->second.try_respond);
  this->polls.erase(found);
  try_respond(/*expired=*/true);
}

void LongPolls::Remove(std::uint64_t connection_id) { this->polls.erase(connection_id); }

void LongPolls::DisconnectAll() {
  std::vector<HttpConnectionPtr> connections;
  for (const auto& [id, poll] : this->polls) {
    connections.push_back(poll.connection);
  }
  this->polls.clear();
  for (const HttpConnectionPtr& connection : connections) {
    connection->Disconnect();
  }
}

std::size_t LongPolls::WaitingCount() const { return this->polls.size(); }

}  // namespace amaranthlane::stand_ins
