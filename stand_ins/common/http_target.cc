#include "stand_ins/common/http_target.h"

#include <charconv>

#include "common/error.h"

namespace amaranthlane::stand_ins {

namespace {

constexpr std::uint64_t kMaxWaitMs = 3'600'000;

}  // namespace

HttpTarget::HttpTarget(std::string_view target) {
  const std::size_t query_mark = target.find('?');
  this->path = target.substr(0, query_mark);
  if (query_mark != std::string_view::npos) {
    this->query = target.substr(query_mark + 1);
  }
}

std::optional<std::string> HttpTarget::Text(std::string_view name) const {
  std::string_view rest = this->query;
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    if (parameter.size() > name.size() && parameter.starts_with(name) && parameter[name.size()] == '=') {
      return DecodePercent(parameter.substr(name.size() + 1));
    }
    rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
  }
  return std::nullopt;
}

std::optional<std::uint64_t> HttpTarget::Number(std::string_view name) const {
  const std::optional<std::string> text = this->Text(name);
  if (!text) {
    return std::nullopt;
  }
  std::uint64_t number = 0;
  const char* end = text->data() + text->size();
  const auto [stop, error] = std::from_chars(text->data(), end, number);
  if (error != std::errc() || stop != end) {
    throw ParseError("query", std::string(name), "a whole number from 0");
  }
  return number;
}

std::chrono::milliseconds HttpTarget::Milliseconds(std::string_view name) const {
  const std::uint64_t count = this->Number(name).value_or(0);
  if (count > kMaxWaitMs) {
    throw ParseError("query", std::string(name), "at most one hour in milliseconds");
  }
  return std::chrono::milliseconds(count);
}

std::vector<std::string> HttpTarget::PathSegments() const {
  std::vector<std::string> parts = Split(this->path, '/');
  for (std::string& part : parts) {
    part = DecodePercent(part);
  }
  return parts;
}

std::string DecodePercent(std::string_view text) {
  std::string decoded;
  decoded.reserve(text.size());
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%') {
      decoded.push_back(text[index]);
      continue;
    }
    unsigned code = 0;
    const std::string_view digits = text.substr(index + 1, 2);
    const auto [stop, error] = std::from_chars(digits.data(), digits.data() + digits.size(), code, 16);
    if (error != std::errc() || digits.size() != 2 || stop != digits.data() + digits.size()) {
      throw ParseError("target", std::string(text), "two hexadecimal digits after %");
    }
    decoded.push_back(static_cast<char>(code));
    index += 2;
  }
  return decoded;
}

std::vector<std::string> Split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  while (!text.empty()) {
    const std::size_t end = text.find(separator);
    if (end != 0) {
      parts.emplace_back(text.substr(0, end));
    }
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
  }
  return parts;
}

}  // namespace amaranthlane::stand_ins
