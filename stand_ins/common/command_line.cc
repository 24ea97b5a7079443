#include "stand_ins/common/command_line.h"

#include <popt.h>

#include <charconv>
#include <limits>
#include <memory>

#include "stand_ins/common/errors.h"

namespace amaranthlane::stand_ins {

namespace {

struct ContextDeleter {
  void operator()(poptContext context) const { poptFreeContext(context); }
};
using ContextPtr = std::unique_ptr<std::remove_pointer_t<poptContext>, ContextDeleter>;

std::uint64_t ParseNumber(const std::string& option, const std::string& text, std::uint64_t max_value) {
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto [stop, error] = std::from_chars(text.data(), end, number);
  if (error != std::errc() || stop != end || number > max_value) {
    throw CommandLineError(option, "expected a whole number up to " + std::to_string(max_value));
  }
  return number;
}

constexpr std::uint64_t kMaxDurationCount = 3'600'000'000;

}  // namespace

void CommandLine::AddText(const char* name, const char* help, std::string* value) {
  this->options.push_back({name, help, [value](const std::string& text) { *value = text; }});
}

void CommandLine::AddTextList(const char* name, const char* help, std::vector<std::string>* values) {
  this->options.push_back({name, help, [values](const std::string& text) { values->push_back(text); }});
}

void CommandLine::AddNumber(const char* name, const char* help, std::uint64_t* value) {
  this->options.push_back({name, help, [name, value](const std::string& text) {
                             *value = ParseNumber(name, text, std::numeric_limits<std::uint64_t>::max());
                           }});
}

void CommandLine::AddPort(const char* name, const char* help, std::uint16_t* value) {
  this->options.push_back({name, help, [name, value](const std::string& text) {
                             const auto max_value = std::numeric_limits<std::uint16_t>::max();
                             *value = static_cast<std::uint16_t>(ParseNumber(name, text, max_value));
                           }});
}

void CommandLine::AddMilliseconds(const char* name, const char* help, std::chrono::milliseconds* value) {
  this->options.push_back({name, help, [name, value](const std::string& text) {
                             *value = std::chrono::milliseconds(ParseNumber(name, text, kMaxDurationCount));
                           }});
}

void CommandLine::AddMicroseconds(const char* name, const char* help, std::chrono::microseconds* value) {
  this->options.push_back({name, help, [name, value](const std::string& text) {
                             *value = std::chrono::microseconds(ParseNumber(name, text, kMaxDurationCount));
                           }});
}

void CommandLine::Parse(int argc, const char** argv) const {
  std::vector<poptOption> table;
  int number = 1;
  for (const Option& option : this->options) {
    table.push_back({option.name, '\0', POPT_ARG_STRING, nullptr, number, option.help, "VALUE"});
    ++number;
  }
  poptOption help[] = {POPT_AUTOHELP POPT_TABLEEND};
  table.push_back(help[0]);
  table.push_back(help[1]);
  const ContextPtr context(poptGetContext(nullptr, argc, argv, table.data(), 0));
  int found = 0;
  while ((found = poptGetNextOpt(context.get())) > 0) {
    const std::unique_ptr<char, decltype(&free)> value(poptGetOptArg(context.get()), &free);
    this->options[static_cast<std::size_t>(found) - 1].assign(value ? value.get() : "");
  }
  if (found < -1) {
    throw CommandLineError(poptBadOption(context.get(), 0), poptStrerror(found));
  }
  if (poptPeekArg(context.get()) != nullptr) {
    throw CommandLineError(poptPeekArg(context.get()), "unexpected argument");
  }
}

}  // namespace amaranthlane::stand_ins
