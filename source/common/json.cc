#include "common/json.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "common/ip_address.h"
#include "common/json_text.h"

namespace amaranthlane::json {

namespace {

constexpr std::uint64_t kMaxMilliseconds = 24ULL * 60 * 60 * 1000;

}  // namespace

nlohmann::json Parse(std::string_view text, std::string_view document) {
  if (ExceedsParsingLimits(text)) {
    throw ParseError(std::string(document), "", "fewer values, nested less deeply");
  }
  nlohmann::json parsed = nlohmann::json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (parsed.is_discarded()) {
    throw ParseError(std::string(document), "", "a JSON document");
  }
  return parsed;
}

nlohmann::json ParseSharedDocument(std::string_view text, std::string_view document) {
  try {
    return Parse(text, document);
  } catch (const ParseError&) {
    return Parse(ReplaceUnreadableValues(text), document);
  }
}

ObjectReader::ObjectReader(const nlohmann::json& value, std::string document)
    : value(value), document(std::move(document)) {
  if (!this->value.is_object()) {
    this->Fail("", "an object");
  }
}

bool ObjectReader::Has(const char* key) const { return this->value.contains(key); }

std::string ObjectReader::String(const char* key) const {
  const nlohmann::json& member = this->Member(key);
  if (!member.is_string()) {
    this->Fail(key, "a string");
  }
  return member.get<std::string>();
}

std::string ObjectReader::StringOr(const char* key, std::string fallback) const {
  return this->Has(key) ? this->String(key) : std::move(fallback);
}

bool ObjectReader::Bool(const char* key) const {
  const nlohmann::json& member = this->Member(key);
  if (!member.is_boolean()) {
    this->Fail(key, "true or false");
  }
  return member.get<bool>();
}

bool ObjectReader::BoolOr(const char* key, bool fallback) const { return this->Has(key) ? this->Bool(key) : fallback; }

std::uint64_t ObjectReader::Unsigned(const char* key) const {
  const nlohmann::json& member = this->Member(key);
  if (!member.is_number_unsigned()) {
    this->Fail(key, "a whole number from 0");
  }
  return member.get<std::uint64_t>();
}

std::uint64_t ObjectReader::UnsignedOr(const char* key, std::uint64_t fallback) const {
  return this->Has(key) ? this->Unsigned(key) : fallback;
}

double ObjectReader::Number(const char* key) const {
  const nlohmann::json& member = this->Member(key);
  if (!member.is_number()) {
    this->Fail(key, "a number");
  }
  return member.get<double>();
}

double ObjectReader::NumberOr(const char* key, double fallback) const {
  return this->Has(key) ? this->Number(key) : fallback;
}

std::chrono::milliseconds ObjectReader::Milliseconds(const char* key) const {
  const std::uint64_t count = this->Unsigned(key);
  if (count > kMaxMilliseconds) {
    this->Fail(key, "at most 86400000 ms (one day)");
  }
  return std::chrono::milliseconds(count);
}

std::chrono::milliseconds ObjectReader::MillisecondsOr(const char* key, std::chrono::milliseconds fallback) const {
  return this->Has(key) ? this->Milliseconds(key) : fallback;
}

std::string ObjectReader::Address(const char* key) const {
  std::string address = this->String(key);
  if (!IsIpAndPort(address)) {
    this->Fail(key, "an address as ip:port");
  }
  return address;
}

std::string ObjectReader::AddressOrEmpty(const char* key) const {
  return this->String(key).empty() ? std::string() : this->Address(key);
}

std::vector<std::string> ObjectReader::Strings(const char* key) const {
  std::vector<std::string> strings;
  for (const nlohmann::json& element : this->Array(key)) {
    if (!element.is_string()) {
      this->Fail(key, "an array of strings");
    }
    strings.push_back(element.get<std::string>());
  }
  return strings;
}

std::vector<std::string> ObjectReader::StringsOr(const char* key, std::vector<std::string> fallback) const {
  return this->Has(key) ? this->Strings(key) : std::move(fallback);
}

const nlohmann::json& ObjectReader::Member(const char* key) const {
  const auto found = this->value.find(key);
  if (found == this->value.end()) {
    this->Fail(key, "a value, but the key is missing");
  }
  return *found;
}

const nlohmann::json& ObjectReader::Array(const char* key) const {
  const nlohmann::json& member = this->Member(key);
  if (!member.is_array()) {
    this->Fail(key, "an array");
  }
  return member;
}

const nlohmann::json& ObjectReader::Object(const char* key) const {
  const nlohmann::json& member = this->Member(key);
  if (!member.is_object()) {
    this->Fail(key, "an object");
  }
  return member;
}

void ObjectReader::RejectUnknown(const std::vector<std::string_view>& known) const {
  for (const auto& [name, member] : this->value.items()) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      this->Fail(name.c_str(), "a known key");
    }
  }
}

void ObjectReader::Fail(const char* key, const char* expected) const {
  throw ParseError(this->document, key, expected);
}

}  // namespace amaranthlane::json
