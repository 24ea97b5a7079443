#ifndef AMARANTHLANE_STAND_INS_COMMON_COMMAND_LINE_H_
#define AMARANTHLANE_STAND_INS_COMMON_COMMAND_LINE_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace amaranthlane::stand_ins {

// Parses the long options of a program and stores each value in the variable bound to the option.
class CommandLine {
 public:
  void AddText(const char* name, const char* help, std::string* value);
  // The option may be repeated; each occurrence appends a value.
  void AddTextList(const char* name, const char* help, std::vector<std::string>* values);
  void AddNumber(const char* name, const char* help, std::uint64_t* value);
  void AddPort(const char* name, const char* help, std::uint16_t* value);
  void AddMilliseconds(const char* name, const char* help, std::chrono::milliseconds* value);
  void AddMicroseconds(const char* name, const char* help, std::chrono::microseconds* value);
  // Parses the arguments. Throws CommandLineError on an unknown option or an invalid value. Exits on --help.
  void Parse(int argc, const char** argv) const;

 private:
  struct Option {
    const char* name;
    const char* help;
    std::function<void(const std::string&)> assign;
  };

  std::vector<Option> options;
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_COMMAND_LINE_H_
