#include "mutator.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace amaranthlane::fuzz {

namespace {

constexpr std::size_t kMaxMutations = 4;
constexpr std::size_t kMaxSpanBytes = 16;
constexpr std::size_t kByteValues = 256;
// The bytes below this one are control characters.
constexpr std::size_t kControlCharacters = 0x20;

constexpr std::array<std::string_view, 22> kTokens = {"null",         "-1",       "1e999", "18446744073709551616",
                                                      "\"\"",         "[]",       "{}",    "\xff",
                                                      "\\u0000",      ": ",       "\n",    "&a [*a, *a]",
                                                      "!!binary x",   "[[[[",     "{{",    "#",
                                                      "0.0000000001", "\t",       "1e308", "-1e999",
                                                      "\"\\ud800\"",  "-Infinity"};
// What a reader may take for the end of a message.
constexpr std::array<std::string_view, 8> kLineEnds = {"\r\n", "\n", "\r", "\n\r", "\r\r\n", {"\0", 1}, "\v", "\x1e"};
// Beyond and far beyond what parsers accept. The larger depth overflows the stack of code that recurses into a value.
constexpr std::array<std::size_t, 2> kDepths = {65, 100UL * 1000};
constexpr std::size_t kInputsPerDeepInput = 1000;

}  // namespace

Mutator::Mutator(std::vector<std::string> samples, std::uint64_t seed) : samples(std::move(samples)), generator(seed) {}

std::string Mutator::Next() {
  if (this->RandomBelow(kInputsPerDeepInput) == 0) {
    return this->InsertDeepValue(this->samples[this->RandomBelow(this->samples.size())]);
  }
  const std::string& sample = this->samples[this->RandomBelow(this->samples.size())];
  nlohmann::json document = nlohmann::json::parse(sample, nullptr, /*allow_exceptions=*/false);
  if (!document.is_discarded() && document.is_structured() && this->RandomBelow(2) == 0) {
    return this->MutateJson(std::move(document));
  }
  return this->MutateText(sample);
}

std::size_t Mutator::RandomBelow(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->generator);
}

std::string Mutator::InsertDeepValue(std::string text) {
  const std::size_t depth = kDepths.at(this->RandomBelow(kDepths.size()));
  const bool arrays = this->RandomBelow(2) == 0;
  std::string value;
  for (std::size_t i = 0; i < depth; ++i) {
    value += arrays ? "[" : "{\"a\":";
  }
  value += "1" + std::string(depth, arrays ? ']' : '}');
  // After a colon the value takes the place of a member's value or stands before it.
  std::size_t position = text.find(':', this->RandomBelow(text.size() + 1));
  position = position == std::string::npos ? 0 : position + 1;
  const std::size_t end = text.find_first_of(",}]", position);
  return text.replace(position, end == std::string::npos ? 0 : end - position, value);
}

std::string Mutator::MutateText(std::string text) {
  const std::size_t mutations = 1 + this->RandomBelow(kMaxMutations);
  for (std::size_t i = 0; i < mutations; ++i) {
    const std::size_t position = this->RandomBelow(text.size() + 1);
    const std::size_t length = std::min(1 + this->RandomBelow(kMaxSpanBytes), text.size() - position);
    switch (this->RandomBelow(8)) {
      case 0:
        text.insert(position, 1, static_cast<char>(this->RandomBelow(kByteValues)));
        break;
      case 1:
        text.erase(position, length);
        break;
      case 2:
        text.insert(position, kTokens.at(this->RandomBelow(kTokens.size())));
        break;
      case 3:
        text.insert(position, text.substr(this->RandomBelow(text.size() + 1), kMaxSpanBytes));
        break;
      case 4:
        text.insert(position, 1, static_cast<char>(this->RandomBelow(kControlCharacters)));
        break;
      case 5:
        text.insert(position, kLineEnds.at(this->RandomBelow(kLineEnds.size())));
        break;
      case 6:
        text.insert(position, this->InnerMessage());
        break;
      default:
        text.replace(position, length, kTokens.at(this->RandomBelow(kTokens.size())));
        break;
    }
  }
  return text;
}

std::string Mutator::MutateJson(nlohmann::json document) {
  const std::size_t mutations = 1 + this->RandomBelow(kMaxMutations);
  for (std::size_t i = 0; i < mutations; ++i) {
    nlohmann::json& node = this->PickPart(document);
    const std::size_t choice = this->RandomBelow(4);
    if (choice == 0 && node.is_object()) {
      node["extra"] = this->PickValue();
    } else if (choice == 1 && node.is_array()) {
      node.push_back(this->PickValue());
    } else if (choice == 2 && node.is_structured() && !node.empty()) {
      auto member = node.begin();
      std::advance(member, static_cast<std::ptrdiff_t>(this->RandomBelow(node.size())));
      node.erase(member);
    } else {
      node = this->PickValue();
    }
  }
  return document.dump();
}

nlohmann::json& Mutator::PickPart(nlohmann::json& document) {
  nlohmann::json* node = &document;
  while (node->is_structured() && !node->empty() && this->RandomBelow(4) != 0) {
    auto member = node->begin();
    std::advance(member, static_cast<std::ptrdiff_t>(this->RandomBelow(node->size())));
    node = &*member;
  }
  return *node;
}

std::string Mutator::InnerMessage() {
  std::string message(kLineEnds.at(this->RandomBelow(kLineEnds.size())));
  return message + this->samples[this->RandomBelow(this->samples.size())];
}

nlohmann::json Mutator::PickValue() {
  const std::array<nlohmann::json, 12> values = {nullptr,
                                                 true,
                                                 0U,
                                                 -1,
                                                 0.5,
                                                 -0.5,
                                                 std::numeric_limits<std::uint64_t>::max(),
                                                 "",
                                                 "x",
                                                 std::string(100, 'a'),
                                                 nlohmann::json::array(),
                                                 nlohmann::json::object()};
  return values.at(this->RandomBelow(values.size()));
}

}  // namespace amaranthlane::fuzz
