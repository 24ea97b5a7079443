#ifndef AMARANTHLANE_TESTS_INTEGRATION_COMMAND_LINE_H_
#define AMARANTHLANE_TESTS_INTEGRATION_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace amaranthlane::testing {

// The result of a program that has exited.
struct CommandResult {
  int exit_status = -1;
  // Standard output and standard error combined.
  std::string output;
};

// Runs `amaranthctl` until it exits.
CommandResult RunAmaranthctl(const std::vector<std::string>& arguments);
// Runs `amaranthlaned` until it exits.
CommandResult RunAmaranthlaned(const std::vector<std::string>& arguments);

// A file in the temporary directory that the destructor deletes.
class TemporaryFile {
 public:
  TemporaryFile(const std::string& name, const std::string& text);
  ~TemporaryFile();
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  const std::string& Path() const;

 private:
  std::string path;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_COMMAND_LINE_H_
