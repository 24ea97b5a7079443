#include "integration/process_fixture.h"

#include <signal.h>
#include <unistd.h>

#include <atomic>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

// Boost.Asio 1.74 needs <utility> before it in C++20.
#include <boost/process.hpp>

#include "common/boot_clock.h"

namespace amaranthlane::testing {

namespace {

constexpr std::chrono::seconds kReadyTimeout(10);
// Log event of the daemon once its ports are open.
constexpr char kDaemonReadyEvent[] = "\"event\":\"listening\"";
constexpr std::chrono::milliseconds kPollInterval(5);

std::filesystem::path NextOutputPath() {
  static std::atomic<int> number = 0;
  const std::string name = "amaranthlane_" + std::to_string(::getpid()) + "_" + std::to_string(++number) + ".log";
  return std::filesystem::temp_directory_path() / name;
}

}  // namespace

class Process::Child {
 public:
  Child(const std::string& program, const std::vector<std::string>& arguments, const std::string& output)
      : child(program, boost::process::args(arguments), (boost::process::std_out & boost::process::std_err) > output,
              boost::process::std_in < boost::process::null) {}

  boost::process::child child;
};

ProcessError::ProcessError(const std::string& program, const std::string& reason) : Error(program + ": " + reason) {}

Process::Process(const std::string& program, const std::vector<std::string>& arguments)
    : program(program), output_path(NextOutputPath()) {
  this->child = std::make_unique<Child>(program, arguments, this->output_path.string());
  this->AwaitReady();
}

Process::~Process() {
  this->Kill();
  std::error_code ignored;
  std::filesystem::remove(this->output_path, ignored);
}

void Process::AwaitReady() {
  const TimePoint deadline = BootClock::now() + kReadyTimeout;
  const auto ready = [this] {
    const std::string output = "\n" + this->Output();
    return output.find("\nready\n") != std::string::npos || output.find(kDaemonReadyEvent) != std::string::npos;
  };
  while (!ready()) {
    const bool running = this->Running();
    if (!running || BootClock::now() > deadline) {
      this->Kill();
      throw ProcessError(
          this->program,
          (running ? "not ready within 10 s; output: " : "exited before it was ready; output: ") + this->Output());
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void Process::Kill() {
  if (this->Running()) {
    this->Signal(SIGKILL);
    this->child->child.wait();
  }
}

void Process::Pause() { this->Signal(SIGSTOP); }

void Process::Resume() { this->Signal(SIGCONT); }

int Process::Terminate(std::chrono::milliseconds timeout) {
  this->Signal(SIGTERM);
  const TimePoint deadline = BootClock::now() + timeout;
  while (this->Running()) {
    if (BootClock::now() > deadline) {
      throw ProcessError(this->program, "did not exit in time after SIGTERM");
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return this->child->child.exit_code();
}

bool Process::Running() {
  std::error_code ignored;
  return this->child->child.running(ignored);
}

std::string Process::Output() const {
  const std::ifstream file(this->output_path);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

void Process::Signal(int signal) { ::kill(this->child->child.id(), signal); }

}  // namespace amaranthlane::testing
