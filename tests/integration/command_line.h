#ifndef AMARANTHLANE_TESTS_INTEGRATION_COMMAND_LINE_H_
#define AMARANTHLANE_TESTS_INTEGRATION_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace amaranthlane::testing {

// What a program that ran to its end left behind.
struct CommandResult {
  int exit_status = -1;
  // What it printed to both outputs.
  std::string output;
};

// Runs `amaranthctl` and waits for its end.
CommandResult RunAmaranthctl(const std::vector<std::string>& arguments);
// Runs `amaranthlaned` and waits for its end.
CommandResult RunAmaranthlaned(const std::vector<std::string>& arguments);

// A file of the temporary directory that lives as long as the object.
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
