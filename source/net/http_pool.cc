#include "net/http_pool.h"

#include <utility>

namespace amaranthlane::net {

// Shared with the calls in progress, which may outlive the pool.
struct HttpPool::State {
  boost::asio::io_context& loop;
  Address address;
  std::size_t limit = 0;
  std::size_t open = 0;
  bool closed = false;
  std::vector<std::shared_ptr<HttpConnection>> idle;
  std::deque<WaitingCall> waiting;
};

HttpPool::HttpPool(boost::asio::io_context& loop, const Address& address, std::size_t limit)
    : state(std::make_shared<State>(State{loop, address, limit, 0, false, {}, {}})) {}

HttpPool::~HttpPool() {
  this->state->closed = true;
  this->state->idle.clear();
  this->state->waiting.clear();
}

void HttpPool::Call(HttpRequest request, TimePoint deadline, HttpConnection::Callback callback) {
  WaitingCall call{std::move(request), deadline, std::move(callback)};
  if (!this->state->idle.empty()) {
    const std::shared_ptr<HttpConnection> connection = std::move(this->state->idle.back());
    this->state->idle.pop_back();
    Run(this->state, connection, std::move(call));
    return;
  }
  if (this->state->open < this->state->limit) {
    ++this->state->open;
    Run(this->state, std::make_shared<HttpConnection>(this->state->loop, this->state->address), std::move(call));
    return;
  }
  this->state->waiting.push_back(std::move(call));
}

const Address& HttpPool::Target() const { return this->state->address; }

void HttpPool::Run(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection,
                   WaitingCall call) {
  HttpConnection::Callback callback = std::move(call.callback);
  connection->Call(std::move(call.request), call.deadline,
                   [state, connection, callback = std::move(callback)](CallResult result) {
                     if (result.status == CallStatus::kTimedOut) {
                       CloseIdle(state);
                     }
                     // The connection goes back first, so that the callback's own calls can use it.
                     boost::asio::post(state->loop, [state, connection] { Release(state, connection); });
                     callback(std::move(result));
                   });
}

void HttpPool::CloseIdle(const std::shared_ptr<State>& state) {
  state->open -= state->idle.size();
  for (const std::shared_ptr<HttpConnection>& connection : state->idle) {
    connection->Close();
  }
  state->idle.clear();
}

void HttpPool::Release(const std::shared_ptr<State>& state, const std::shared_ptr<HttpConnection>& connection) {
  if (state->closed) {
    connection->Close();
    return;
  }
  if (connection->Usable()) {
    state->idle.push_back(connection);
  } else {
    --state->open;
  }
  while (!state->waiting.empty() && (!state->idle.empty() || state->open < state->limit)) {
    WaitingCall next = std::move(state->waiting.front());
    state->waiting.pop_front();
    if (next.deadline <= BootClock::now()) {
      next.callback(CallResult{CallStatus::kNotSent, {}});
      continue;
    }
    Retry(state, std::move(next));
  }
}

void HttpPool::Retry(const std::shared_ptr<State>& state, WaitingCall call) {
  if (state->idle.empty()) {
    ++state->open;
    Run(state, std::make_shared<HttpConnection>(state->loop, state->address), std::move(call));
    return;
  }
  const std::shared_ptr<HttpConnection> connection = std::move(state->idle.back());
  state->idle.pop_back();
  Run(state, connection, std::move(call));
}

}  // namespace amaranthlane::net
