#include "stand_ins/fault_proxy/link.h"

#include <algorithm>
#include <boost/asio/write.hpp>

namespace amaranthlane::stand_ins {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

std::string GetClientIp(const tcp::socket& socket) {
  error_code error;
  const tcp::endpoint remote = socket.remote_endpoint(error);
  return error ? std::string() : remote.address().to_string();
}

}  // namespace

Link::Link(tcp::socket client, RouteState& state, std::function<void()> on_closed)
    : client(std::move(client)),
      target(this->client.get_executor()),
      client_ip(GetClientIp(this->client)),
      state(state),
      on_closed(std::move(on_closed)),
      to_target{
          Direction::kToTarget, this->client, this->target, boost::asio::steady_timer(this->client.get_executor()), {}},
      to_client{Direction::kToClient,
                this->target,
                this->client,
                boost::asio::steady_timer(this->client.get_executor()),
                {}} {}

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

void Link::StartDiscarding() {
  this->to_target.discarding = true;
  this->to_client.discarding = true;
}

void Link::Resume() {
  for (Stream* stream : {&this->to_target, &this->to_client}) {
    if (stream->held) {
      stream->held = false;
      this->Forward(*stream);
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
  this->on_closed();
}

const std::string& Link::ClientIp() const { return this->client_ip; }

const Fault& Link::CurrentFault() const { return this->state.faults.FaultFor(this->client_ip); }

void Link::Read(Stream& stream) {
  if (this->closed) {
    return;
  }
  stream.from.async_read_some(boost::asio::buffer(stream.buffer),
                              [self = this->shared_from_this(), &stream](error_code error, std::size_t count) {
                                self->OnRead(stream, error, count);
                              });
}

void Link::OnRead(Stream& stream, error_code error, std::size_t count) {
  if (this->closed) {
    return;
  }
  stream.ended = static_cast<bool>(error);
  stream.size = count;
  if (this->CurrentFault().delay > std::chrono::milliseconds::zero()) {
    this->Delay(stream);
    return;
  }
  this->Forward(stream);
}

void Link::Delay(Stream& stream) {
  stream.timer.expires_after(this->CurrentFault().delay);
  stream.timer.async_wait([self = this->shared_from_this(), &stream](error_code) { self->Forward(stream); });
}

void Link::Forward(Stream& stream) {
  if (this->closed) {
    return;
  }
  if (this->CurrentFault().mode == FaultMode::kFreeze) {
    stream.held = true;
    return;
  }
  if (stream.ended) {
    this->Close();
    return;
  }
  if (this->ShouldDiscard(stream)) {
    this->Read(stream);
    return;
  }
  if (stream.direction == Direction::kToTarget) {
    this->response_bytes = 0;
    this->CheckForResponseDrop(stream);
    this->Write(stream, /*close_after=*/false);
    return;
  }
  if (this->drop_response) {
    this->Close();
    return;
  }
  this->response_bytes += stream.size;
  const bool truncate = this->CurrentFault().mode == FaultMode::kTruncateAnswer &&
                        this->response_bytes > this->CurrentFault().max_response_bytes;
  if (truncate) {
    const std::uint64_t excess = this->response_bytes - this->CurrentFault().max_response_bytes;
    stream.size -= std::min<std::uint64_t>(excess, stream.size);
  }
  this->Write(stream, truncate);
}

void Link::Write(Stream& stream, bool close_after) {
  std::uint64_t& bytes =
      stream.direction == Direction::kToTarget ? this->state.bytes_to_target : this->state.bytes_to_client;
  bytes += stream.size;
  boost::asio::async_write(stream.to, boost::asio::buffer(stream.buffer.data(), stream.size),
                           [self = this->shared_from_this(), &stream, close_after](error_code error, std::size_t) {
                             if (error || close_after) {
                               self->Close();
                               return;
                             }
                             self->Read(stream);
                           });
}

bool Link::ShouldDiscard(Stream& stream) const {
  const FaultMode dropped =
      stream.direction == Direction::kToTarget ? FaultMode::kDropToTarget : FaultMode::kDropToClient;
  stream.discarding = stream.discarding || this->CurrentFault().mode == dropped;
  return stream.discarding;
}

void Link::CheckForResponseDrop(const Stream& stream) {
  ResponsesToDrop& to_drop = this->state.responses_to_drop;
  if (to_drop.count == 0 || this->drop_response) {
    return;
  }
  const std::string_view chunk(stream.buffer.data(), stream.size);
  if (chunk.find(to_drop.match) != std::string_view::npos) {
    this->drop_response = true;
    --to_drop.count;
  }
}

}  // namespace amaranthlane::stand_ins
