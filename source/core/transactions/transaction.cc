#include "core/transactions/transaction.h"

#include <charconv>

#include "common/error.h"

namespace amaranthlane::transactions {

namespace {

constexpr std::size_t kHexDigitsPerHalf = 16;
constexpr int kHexBase = 16;

void AppendHalf(std::uint64_t half, std::string& text) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  for (int shift = 60; shift >= 0; shift -= 4) {
    text.push_back(kDigits[(half >> shift) & 0xf]);
  }
}

std::uint64_t ParseHalf(std::string_view text) {
  std::uint64_t half = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), half, kHexBase);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw ParseError("transaction", "id", "32 lower-case hexadecimal digits");
  }
  return half;
}

}  // namespace

std::string FormatTransactionId(const TransactionId& id) {
  std::string text;
  text.reserve(2 * kHexDigitsPerHalf);
  AppendHalf(id.high, text);
  AppendHalf(id.low, text);
  return text;
}

TransactionId ParseTransactionId(std::string_view text) {
  if (text.size() != 2 * kHexDigitsPerHalf) {
    throw ParseError("transaction", "id", "32 lower-case hexadecimal digits");
  }
  const TransactionId id{.high = ParseHalf(text.substr(0, kHexDigitsPerHalf)),
                         .low = ParseHalf(text.substr(kHexDigitsPerHalf))};
  if (FormatTransactionId(id) != text) {
    throw ParseError("transaction", "id", "32 lower-case hexadecimal digits");
  }
  return id;
}

std::string_view TransactionEndReasonName(TransactionEndReason reason) {
  constexpr std::array<std::string_view, 11> kNames = {
      "answered",        "caller_gone", "connection_lost", "idle_deadline", "total_deadline",     "call_deadline",
      "leadership_lost", "term_moved",  "drained",         "overload",      "refused_by_endpoint"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace amaranthlane::transactions
