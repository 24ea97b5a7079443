#ifndef AMARANTHLANE_COMMON_ERROR_H_
#define AMARANTHLANE_COMMON_ERROR_H_

#include <stdexcept>
#include <string>

namespace amaranthlane {

// The base class of all exceptions that this project throws. Each kind of failure has its own subclass.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A message or document without the structure that its parse function requires.
class ParseError : public Error {
 public:
  // `document` names the kind of message, `key` is the path of the invalid member, `expected` describes a valid value.
  ParseError(std::string document, std::string key, std::string expected);

  std::string document;
  std::string key;
  std::string expected;
};

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_ERROR_H_
