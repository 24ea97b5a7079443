#ifndef AMARANTHLANE_STAND_INS_COMMON_ERRORS_H_
#define AMARANTHLANE_STAND_INS_COMMON_ERRORS_H_

#include <string>

#include "common/error.h"

namespace amaranthlane::stand_ins {

// A command line that the program doesn't understand.
class CommandLineError : public Error {
 public:
  CommandLineError(const std::string& option, const std::string& reason);
};

// A file named on the command line that can't be read.
class FileError : public Error {
 public:
  explicit FileError(const std::string& path);
};

// An address that isn't `ip:port`.
class AddressError : public Error {
 public:
  explicit AddressError(const std::string& address);
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_ERRORS_H_
