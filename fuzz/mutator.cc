#include "mutator.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace amaranthlane::fuzz {

namespace {

constexpr std::size_t kMaximumMutations = 4;
constexpr std::size_t kMaximumSpan = 16;
constexpr std::size_t kByteValues = 256;

constexpr std::array<std::string_view, 18> kTokens = {
    "null", "-1", "1e999",       "18446744073709551616", "\"\"", "[]", "{}", "\xff",         "\\u0000",
    ": ",   "\n", "&a [*a, *a]", "!!binary x",           "[[[[", "{{", "#",  "0.0000000001", "\t"};

}  // namespace

Mutator::Mutator(std::vector<std::string> samples, std::uint64_t seed) : samples(std::move(samples)), generator(seed) {}

std::string Mutator::Next() {
  const std::string& sample = this->samples[this->Below(this->samples.size())];
  nlohmann::json document = nlohmann::json::parse(sample, nullptr, /*allow_exceptions=*/false);
  if (!document.is_discarded() && document.is_structured() && this->Below(2) == 0) {
    return this->MutateJson(std::move(document));
  }
  return this->MutateText(sample);
}

std::size_t Mutator::Below(std::size_t count) {
  return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->generator);
}

std::string Mutator::MutateText(std::string text) {
  const std::size_t mutations = 1 + this->Below(kMaximumMutations);
  for (std::size_t i = 0; i < mutations; ++i) {
    const std::size_t place = this->Below(text.size() + 1);
    const std::size_t span = std::min(1 + this->Below(kMaximumSpan), text.size() - place);
    switch (this->Below(5)) {
      case 0:
        text.insert(place, 1, static_cast<char>(this->Below(kByteValues)));
        break;
      case 1:
        text.erase(place, span);
        break;
      case 2:
        text.insert(place, kTokens.at(this->Below(kTokens.size())));
        break;
      case 3:
        text.insert(place, text.substr(this->Below(text.size() + 1), kMaximumSpan));
        break;
      default:
        text.replace(place, span, kTokens.at(this->Below(kTokens.size())));
        break;
    }
  }
  return text;
}

std::string Mutator::MutateJson(nlohmann::json document) {
  const std::size_t mutations = 1 + this->Below(kMaximumMutations);
  for (std::size_t i = 0; i < mutations; ++i) {
    nlohmann::json& part = this->AnyPart(document);
    const std::size_t choice = this->Below(4);
    if (choice == 0 && part.is_object()) {
      part["extra"] = this->AnyValue();
    } else if (choice == 1 && part.is_array()) {
      part.push_back(this->AnyValue());
    } else if (choice == 2 && part.is_structured() && !part.empty()) {
      auto member = part.begin();
      std::advance(member, static_cast<std::ptrdiff_t>(this->Below(part.size())));
      part.erase(member);
    } else {
      part = this->AnyValue();
    }
  }
  return document.dump();
}

nlohmann::json& Mutator::AnyPart(nlohmann::json& document) {
  nlohmann::json* part = &document;
  while (part->is_structured() && !part->empty() && this->Below(4) != 0) {
    auto member = part->begin();
    std::advance(member, static_cast<std::ptrdiff_t>(this->Below(part->size())));
    part = &*member;
  }
  return *part;
}

nlohmann::json Mutator::AnyValue() {
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
  return values.at(this->Below(values.size()));
}

}  // namespace amaranthlane::fuzz
