#ifndef AMARANTHLANE_COMMON_ERROR_H_
#define AMARANTHLANE_COMMON_ERROR_H_

#include <stdexcept>
#include <string>

namespace amaranthlane {

// The root of all exceptions that this project throws. Every failure has a class of its own below it.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// A message or document that doesn't have the shape its parse function requires.
class ParseError : public Error {
 public:
  // `document` names the kind of message, `key` the path of the offending member, `expected` what should stand there.
  ParseError(std::string document, std::string key, std::string expected);

  std::string document;
  std::string key;
  std::string expected;
};

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_ERROR_H_
