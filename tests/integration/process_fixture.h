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

// A program did not start or exit in time, or a fixture did not get ready.
class ProcessError : public Error {
 public:
  ProcessError(const std::string& program, const std::string& reason);
};

// A running program under test. The destructor kills it.
class Process {
 public:
  // Starts the program and waits until it prints the line `ready` or, for the daemon, logs the event `listening`.
  // Throws ProcessError when it exits first or takes longer than 10 s.
  Process(const std::string& program, const std::vector<std::string>& arguments);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // Kills the program with SIGKILL, which simulates the loss of its VM.
  void Kill();
  // Pauses the program with SIGSTOP, which simulates a suspended VM.
  void Pause();
  // Resumes a paused program.
  void Resume();
  // Sends SIGTERM, waits for the program to exit and returns its exit status. Throws ProcessError on timeout.
  int Terminate(std::chrono::milliseconds timeout = std::chrono::seconds(10));
  bool Running();
  // Everything that the program has printed so far, standard output and error combined.
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
