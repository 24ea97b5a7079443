#include "proxy/frame_reader.h"

#include <chrono>
#include <utility>

#include "proxy/relay_notice.h"

namespace amaranthlane::proxy {

namespace {

// How long the end of a malformed message is awaited.
constexpr std::chrono::milliseconds kMalformedMessageTimeout{1000};

}  // namespace

FrameReader::FrameReader(const StatementCodec& codec, NoticePolicy notices) : codec(codec), notices(notices) {}

void FrameReader::Append(std::string_view bytes) {
  this->buffer.erase(0, std::exchange(this->consumed, 0));
  this->buffer.append(bytes);
}

std::optional<Frame> FrameReader::Next() {
  const std::string_view rest = std::string_view{this->buffer}.substr(this->consumed);
  if (rest.empty() || this->too_large) {
    return std::nullopt;
  }
  const bool is_notice = this->notices == NoticePolicy::kAccept && BeginsWithRelayNotice(rest);
  const std::string_view unsearched = rest.substr(this->searched);
  const std::size_t found = is_notice ? RelayNoticeLength(unsearched) : this->codec.FrameLength(unsearched);
  const bool complete = found > 0;
  const std::size_t length = complete ? this->searched + found : rest.size();
  this->too_large = length > kMaxMessageBytes;
  if (!complete || this->too_large) {
    if (this->malformed_deadline == kNever && !is_notice && this->codec.MakesMalformed(unsearched)) {
      this->malformed_deadline = BootClock::now() + kMalformedMessageTimeout;
    }
    // The last byte may be the first one of a terminator.
    this->searched = rest.size() - 1;
    return std::nullopt;
  }
  this->searched = 0;
  this->malformed_deadline = kNever;
  Frame frame{is_notice ? Frame::Kind::kNotice : Frame::Kind::kMessage, std::string(rest.substr(0, length))};
  this->consumed += length;
  return frame;
}

bool FrameReader::TooLarge() const { return this->too_large; }

bool FrameReader::Full() const { return this->buffer.size() - this->consumed > kMaxMessageBytes; }

TimePoint FrameReader::MalformedDeadline() const { return this->malformed_deadline; }

bool FrameReader::Empty() const { return this->consumed == this->buffer.size(); }

std::string FrameReader::TakeRest() {
  std::string rest = this->buffer.substr(this->consumed);
  this->buffer.clear();
  this->consumed = 0;
  this->searched = 0;
  this->too_large = false;
  this->malformed_deadline = kNever;
  return rest;
}

}  // namespace amaranthlane::proxy
