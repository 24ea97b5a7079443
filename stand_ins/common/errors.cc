#include "stand_ins/common/errors.h"

namespace amaranthlane::stand_ins {

CommandLineError::CommandLineError(const std::string& option, const std::string& reason)
    : Error("option " + option + ": " + reason) {}

FileError::FileError(const std::string& path) : Error("cannot read file " + path) {}

AddressError::AddressError(const std::string& address) : Error("not an address of the form ip:port: " + address) {}

}  // namespace amaranthlane::stand_ins
