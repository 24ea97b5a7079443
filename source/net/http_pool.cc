#include "net/http_pool.h"

#include <utility>

namespace amaranthlane::net {

// Shared with the calls in progress, which may outlive the pool.
struct HttpPool::State {
  boost::asio::io_context& loop;
  Address address;
  std::size_t max_connections = 0;
  std::size_t open_connections = 0;
  bool closed = false;
  std::vector<std::shared_ptr<HttpConnection>> idle_connections;
  std::deque<WaitingCall> waiting_calls;
};

HttpPool::HttpPool(boost::asio::io_context& loop, const Address& address, std::size_t max_connections)
    : state(std::make_shared<State>(State{loop, address, max_connections, 0, false, {}, {}})) {}

HttpPool::~HttpPool() {
  this->state->closed = true;
  this->state->idle_connections.clear();
  this->state->waiting_calls.clear();
}

void HttpPool::Call(HttpRequest request, TimePoint deadline, HttpConnection::Callback callback, BodySink sink) {
  WaitingCall call{std::move(request), deadline, std::move(callback), std::move(sink)};
  if (const std::shared_ptr<HttpConnection> connection = TakeIdleConnection(this->state)) {
    StartCall(this->state, connection, std::move(call));
    return;
  }
  if (this->state->open_connections < this->state->max_connections) {
    ++this->state->open_connections;
    StartCall(this->state, std::make_shared<HttpConnection>(this->state->loop, this->state->address), std::move(call));
    return;
  }
  this->state->waiting_calls.push_back(std::move(call));
}

const Address& HttpPool::Target() const { return this->state->address; }

void HttpPool::StartCall(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection,
                         WaitingCall call) {
  HttpConnection::Callback callback = std::move(call.callback);
  connection->Call(
      std::move(call.request), call.deadline,
      [state, connection, callback = std::move(callback)](CallResult result) {
        if (result.status == CallStatus::kTimedOut) {
          CloseIdleConnections(state);
        }
        // The connection returns to the pool in a handler of its own, which runs after the callback.
        boost::asio::post(state->loop, [state, connection] { Release(state, connection); });
        callback(std::move(result));
      },
      std::move(call.sink));
}

std::shared_ptr<HttpConnection> HttpPool::TakeIdleConnection(const std::shared_ptr<State>& state) {
  while (!state->idle_connections.empty()) {
    std::shared_ptr<HttpConnection> connection = std::move(state->idle_connections.back());
    state->idle_connections.pop_back();
    if (connection->Usable()) {
      return connection;
    }
    connection->Close();
    --state->open_connections;
  }
  return nullptr;
}

void HttpPool::CloseIdleConnections(const std::shared_ptr<State>& state) {
  state->open_connections -= state->idle_connections.size();
  for (const std::shared_ptr<HttpConnection>& connection : state->idle_connections) {
    connection->Close();
  }
  state->idle_connections.clear();
}

void HttpPool::Release(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection) {
  if (state->closed) {
    connection->Close();
    return;
  }
  if (connection->Usable()) {
    state->idle_connections.push_back(connection);
  } else {
    --state->open_connections;
  }
  while (!state->waiting_calls.empty() &&
         (!state->idle_connections.empty() || state->open_connections < state->max_connections)) {
    WaitingCall next = std::move(state->waiting_calls.front());
    state->waiting_calls.pop_front();
    if (next.deadline <= BootClock::now()) {
      next.callback(CallResult{CallStatus::kNotSent, {}});
      continue;
    }
    StartWaitingCall(state, std::move(next));
  }
}

void HttpPool::StartWaitingCall(const std::shared_ptr<State>& state, WaitingCall call) {
  std::shared_ptr<HttpConnection> connection = TakeIdleConnection(state);
  if (connection == nullptr) {
    ++state->open_connections;
    connection = std::make_shared<HttpConnection>(state->loop, state->address);
  }
  StartCall(state, connection, std::move(call));
}

}  // namespace amaranthlane::net
