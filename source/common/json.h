#ifndef AMARANTHLANE_COMMON_JSON_H_
#define AMARANTHLANE_COMMON_JSON_H_

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

// Validated access to JSON documents. Every parse function of the project reads members through `ObjectReader`, so that
// invalid input always results in a ParseError that names the document, the key and the expected value.
namespace amaranthlane::json {

// Parses `text`. Throws ParseError if it is not valid JSON, nested deeper than kMaxNesting or of more than kMaxValues
// values. `document` names the kind of message in the error.
nlohmann::json Parse(std::string_view text, std::string_view document);

// Parses text that holds the values of several writers. A value that can't be read is replaced as by
// ReplaceUnreadableValues, so that it doesn't hide the others. Throws ParseError if the text still isn't valid JSON.
nlohmann::json ParseSharedDocument(std::string_view text, std::string_view document);

// Reads the members of one JSON object. The object must outlive the reader.
class ObjectReader {
 public:
  // Throws ParseError unless `value` is a JSON object.
  ObjectReader(const nlohmann::json& value, std::string document);

  bool Has(const char* key) const;
  std::string String(const char* key) const;
  std::string StringOr(const char* key, std::string fallback) const;
  bool Bool(const char* key) const;
  bool BoolOr(const char* key, bool fallback) const;
  std::uint64_t Unsigned(const char* key) const;
  std::uint64_t UnsignedOr(const char* key, std::uint64_t fallback) const;
  double Number(const char* key) const;
  double NumberOr(const char* key, double fallback) const;
  // Reads a whole number of milliseconds, at most one day.
  std::chrono::milliseconds Milliseconds(const char* key) const;
  std::chrono::milliseconds MillisecondsOr(const char* key, std::chrono::milliseconds fallback) const;
  // Reads an address as ip:port, the port from 1 to 65535.
  std::string Address(const char* key) const;
  // Reads an address that may be empty.
  std::string AddressOrEmpty(const char* key) const;
  std::vector<std::string> Strings(const char* key) const;
  std::vector<std::string> StringsOr(const char* key, std::vector<std::string> fallback) const;
  // The member, of any type.
  const nlohmann::json& Member(const char* key) const;
  // The member, which must be an array.
  const nlohmann::json& Array(const char* key) const;
  // The member, which must be an object.
  const nlohmann::json& Object(const char* key) const;
  // Throws ParseError when the object has a member that isn't in `known`.
  void RejectUnknown(const std::vector<std::string_view>& known) const;

 private:
  [[noreturn]] void Fail(const char* key, const char* expected) const;

  const nlohmann::json& value;
  std::string document;
};

}  // namespace amaranthlane::json

#endif  // AMARANTHLANE_COMMON_JSON_H_
