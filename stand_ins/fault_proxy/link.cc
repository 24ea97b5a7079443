#include "stand_ins/fault_proxy/link.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace amaranthlane::stand_ins {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

std::string SourceOf(const tcp::socket& socket) {
  error_code error;
  const tcp::endpoint remote = socket.remote_endpoint(error);
  return error ? std::string() : remote.address().to_string();
}

}  // namespace

Link::Link(tcp::socket client, RouteState& state, std::function<void()> closed)
    : client(std::move(client)),
      target(this->client.get_executor()),
      source(SourceOf(this->client)),
      state(state),
      closed_handler(std::move(closed)),
      to_target{Way::kToTarget, this->client, this->target, boost::asio::steady_timer(this->client.get_executor()), {}},
      to_client{
          Way::kToClient, this->target, this->client, boost::asio::steady_timer(this->client.get_executor()), {}} {}

void Link::Start(const tcp::endpoint& target) {
  this->target.async_connect(target, [self = this->shared_from_this()](error_code error) {
    if (error) {
      self->Close();
      return;
    }
    error_code ignored;
    self->client.set_option(tcp::no_delay(true), ignored);
    self->target.set_option(tcp::no_delay(true), ignored);
    self->Read(self->to_target);
    self->Read(self->to_client);
  });
}

void Link::Silence() {
  this->to_target.silent = true;
  this->to_client.silent = true;
}

void Link::Resume() {
  for (Direction* direction : {&this->to_target, &this->to_client}) {
    if (direction->held) {
      direction->held = false;
      this->Forward(*direction);
    }
  }
}

void Link::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  error_code ignored;
  this->client.close(ignored);
  this->target.close(ignored);
  this->to_target.timer.cancel();
  this->to_client.timer.cancel();
  this->closed_handler();
}

const std::string& Link::Source() const { return this->source; }

const Fault& Link::CurrentFault() const { return this->state.faults.For(this->source); }

void Link::Read(Direction& direction) {
  if (this->closed) {
    return;
  }
  direction.from.async_read_some(boost::asio::buffer(direction.buffer),
                                 [self = this->shared_from_this(), &direction](error_code error, std::size_t count) {
                                   self->OnRead(direction, error, count);
                                 });
}

void Link::OnRead(Direction& direction, error_code error, std::size_t count) {
  if (this->closed) {
    return;
  }
  direction.ended = static_cast<bool>(error);
  direction.size = count;
  if (this->CurrentFault().delay > std::chrono::milliseconds::zero()) {
    this->Delay(direction);
    return;
  }
  this->Forward(direction);
}

void Link::Delay(Direction& direction) {
  direction.timer.expires_after(this->CurrentFault().delay);
  direction.timer.async_wait([self = this->shared_from_this(), &direction](error_code) { self->Forward(direction); });
}

void Link::Forward(Direction& direction) {
  if (this->closed) {
    return;
  }
  if (this->CurrentFault().mode == Mode::kFreeze) {
    direction.held = true;
    return;
  }
  if (direction.ended) {
    this->Close();
    return;
  }
  if (this->Discards(direction)) {
    this->Read(direction);
    return;
  }
  if (direction.way == Way::kToTarget) {
    this->answer_bytes = 0;
    this->NoteRequest(direction);
    this->Write(direction, /*close_after=*/false);
    return;
  }
  if (this->loses_answer) {
    this->Close();
    return;
  }
  this->answer_bytes += direction.size;
  const bool truncates =
      this->CurrentFault().mode == Mode::kTruncateAnswer && this->answer_bytes > this->CurrentFault().bytes;
  if (truncates) {
    const std::uint64_t excess = this->answer_bytes - this->CurrentFault().bytes;
    direction.size -= std::min<std::uint64_t>(excess, direction.size);
  }
  this->Write(direction, truncates);
}

void Link::Write(Direction& direction, bool close_after) {
  std::uint64_t& bytes = direction.way == Way::kToTarget ? this->state.bytes_to_target : this->state.bytes_to_client;
  bytes += direction.size;
  boost::asio::async_write(direction.to, boost::asio::buffer(direction.buffer.data(), direction.size),
                           [self = this->shared_from_this(), &direction, close_after](error_code error, std::size_t) {
                             if (error || close_after) {
                               self->Close();
                               return;
                             }
                             self->Read(direction);
                           });
}

bool Link::Discards(Direction& direction) const {
  const Mode dropped = direction.way == Way::kToTarget ? Mode::kDropToTarget : Mode::kDropToClient;
  direction.silent = direction.silent || this->CurrentFault().mode == dropped;
  return direction.silent;
}

void Link::NoteRequest(const Direction& direction) {
  LostAnswers& lost = this->state.lost_answers;
  if (lost.count == 0 || this->loses_answer) {
    return;
  }
  const std::string_view chunk(direction.buffer.data(), direction.size);
  if (chunk.find(lost.match) != std::string_view::npos) {
    this->loses_answer = true;
    --lost.count;
  }
}

}  // namespace amaranthlane::stand_ins
