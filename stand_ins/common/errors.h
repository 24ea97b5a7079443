#ifndef AMARANTHLANE_STAND_INS_COMMON_ERRORS_H_
#define AMARANTHLANE_STAND_INS_COMMON_ERRORS_H_

#include <string>

#include "common/error.h"

namespace amaranthlane::stand_ins {

// An unknown command-line option, an invalid option value or an unexpected argument.
class CommandLineError : public Error {
 public:
  CommandLineError(const std::string& option, const std::string& reason);
};

// A file given on the command line can't be read.
class FileError : public Error {
 public:
  explicit FileError(const std::string& path);
};

// An address doesn't have the form `ip:port`.
class AddressError : public Error {
 public:
  explicit AddressError(const std::string& address);
};

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_COMMON_ERRORS_H_
