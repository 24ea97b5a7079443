#ifndef AMARANTHLANE_TESTS_INTEGRATION_PROCESS_FIXTURE_H_
#define AMARANTHLANE_TESTS_INTEGRATION_PROCESS_FIXTURE_H_

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "common/error.h"
#include "net/free_port.h"

namespace amaranthlane::testing {

// A program that didn't start, or didn't end in time.
class ProcessError : public Error {
 public:
  ProcessError(const std::string& program, const std::string& reason);
};

// One program under test. The destructor kills it.
class Process {
 public:
  // Starts the program and waits until it has printed the line `ready`, or the daemon's event that its
  // ports are open. Throws ProcessError.
  Process(const std::string& program, const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Ends the program at once, as the loss of its VM would.
  void Kill();
  // Pauses the program, as a suspended VM is.
  void Pause();
  // Lets a paused program go on.
  void Resume();
  // Asks the program to end, waits for it and returns its exit status. Throws ProcessError when it takes too long.
  int Terminate(std::chrono::milliseconds timeout = std::chrono::seconds(10));
  bool Running();
  // What the program has printed.
  std::string Output() const;

 private:
  class Child;

  void AwaitReady();
  void Signal(int signal);

  std::string program;
  std::filesystem::path output_path;
  std::unique_ptr<Child> child;
};

}  // namespace amaranthlane::testing

#endif  // AMARANTHLANE_TESTS_INTEGRATION_PROCESS_FIXTURE_H_
