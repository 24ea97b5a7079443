#include "integration/command_line.h"

#include <unistd.h>

#include <boost/process.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace amaranthlane::testing {

namespace {

CommandResult Run(const std::string& program, const std::vector<std::string>& arguments) {
  boost::process::ipstream output;
  boost::process::child child(program, boost::process::args(arguments),
                              (boost::process::std_out & boost::process::std_err) > output,
                              boost::process::std_in < boost::process::null);
  std::ostringstream text;
  text << output.rdbuf();
  child.wait();
  return {child.exit_code(), text.str()};
}

}  // namespace

CommandResult RunAmaranthctl(const std::vector<std::string>& arguments) { return Run(AMARANTHCTL, arguments); }

CommandResult RunAmaranthlaned(const std::vector<std::string>& arguments) { return Run(AMARANTHLANED, arguments); }

TemporaryFile::TemporaryFile(const std::string& name, const std::string& text)
    : path((std::filesystem::temp_directory_path() / (std::to_string(::getpid()) + "-" + name)).string()) {
  std::ofstream(this->path) << text;
}

TemporaryFile::~TemporaryFile() {
  std::error_code ignored;
  std::filesystem::remove(this->path, ignored);
}

const std::string& TemporaryFile::Path() const { return this->path; }

}  // namespace amaranthlane::testing
