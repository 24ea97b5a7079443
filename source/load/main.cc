#include <popt.h>

#include <boost/asio/io_context.hpp>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <string>

#include "common/error.h"
#include "load/load_run.h"
#include "load/profile.h"
#include "load/report.h"

// `amaranthload`: runs a load profile against a fleet and checks the consistency of the responses.
namespace amaranthlane::load {
namespace {

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;
constexpr int kExitProfile = 3;

struct Arguments {
  std::string profile_path;
  std::string json_path;
  std::string vms;
  std::string key;
  std::string seed;
  std::string duration_ms;
};

// The command line is invalid.
class UsageError : public Error {
 public:
  using Error::Error;
};

Arguments ParseArguments(int argc, const char** argv) {
  enum Option : int { kProfile = 1, kJson, kVms, kKey, kSeed, kDuration };
  const poptOption options[] = {
      {"profile", 'p', POPT_ARG_STRING, nullptr, kProfile, "the load profile, in YAML (required)", "FILE"},
      {"json", 'j', POPT_ARG_STRING, nullptr, kJson, "also writes the report to FILE as JSON", "FILE"},
      {"vms", '\0', POPT_ARG_STRING, nullptr, kVms, "the VMs' addresses for callers; overrides the profile",
       "IP:PORT,..."},
      {"key", '\0', POPT_ARG_STRING, nullptr, kKey, "the caller's bearer key; overrides the profile", "KEY"},
      {"seed", '\0', POPT_ARG_STRING, nullptr, kSeed, "the seed of the random generators; overrides the profile", "N"},
      {"duration-ms", '\0', POPT_ARG_STRING, nullptr, kDuration, "the duration in milliseconds; overrides the profile",
       "N"},
      POPT_AUTOHELP POPT_TABLEEND};
  Arguments arguments;
  std::string* const targets[] = {nullptr,        &arguments.profile_path, &arguments.json_path,  &arguments.vms,
                                  &arguments.key, &arguments.seed,         &arguments.duration_ms};
  poptContext context = poptGetContext("amaranthload", argc, argv, options, 0);
  int option = 0;
  while ((option = poptGetNextOpt(context)) > 0) {
    char* value = poptGetOptArg(context);
    *targets[option] = value;
    std::free(value);  // NOLINT: popt returns memory allocated by malloc
  }
  const char* bad_option = poptBadOption(context, 0);
  const std::string bad_option_text = bad_option == nullptr ? "" : bad_option;
  poptFreeContext(context);
  if (option < -1) {
    throw UsageError(bad_option_text + ": " + poptStrerror(option));
  }
  if (arguments.profile_path.empty()) {
    throw UsageError("--profile is missing; see --help");
  }
  return arguments;
}

std::uint64_t ParseNumber(const std::string& text, const char* option) {
  try {
    return std::stoull(text);
  } catch (const std::logic_error&) {
    throw UsageError(std::string(option) + ": expected a non-negative whole number that fits into 64 bits");
  }
}

Profile LoadProfileWithOverrides(const Arguments& arguments) {
  Profile profile = LoadProfile(arguments.profile_path);
  if (!arguments.key.empty()) {
    profile.caller_key = arguments.key;
  }
  if (!arguments.seed.empty()) {
    profile.seed = ParseNumber(arguments.seed, "--seed");
  }
  if (!arguments.duration_ms.empty()) {
    profile.duration = std::chrono::milliseconds(ParseNumber(arguments.duration_ms, "--duration-ms"));
  }
  if (!arguments.vms.empty()) {
    profile.vms.clear();
    std::size_t start = 0;
    while (start <= arguments.vms.size()) {
      const std::size_t end = std::min(arguments.vms.find(',', start), arguments.vms.size());
      profile.vms.push_back(net::ParseAddress(arguments.vms.substr(start, end - start)));
      start = end + 1;
    }
  }
  if (profile.vms.empty() || profile.groups.empty()) {
    throw ProfileError(arguments.profile_path, 0, profile.vms.empty() ? "vms" : "groups", "at least one entry");
  }
  return profile;
}

int Run(const Arguments& arguments) {
  const Profile profile = LoadProfileWithOverrides(arguments);
  boost::asio::io_context loop(1);
  LoadRun run(loop, profile);
  run.Start();
  loop.run();
  std::cout << ToText(run.Result());
  if (!arguments.json_path.empty()) {
    std::ofstream(arguments.json_path) << ToJson(run.Result()).dump(2) << '\n';
  }
  return run.Result().TotalViolations() == 0 ? EXIT_SUCCESS : kExitViolation;
}

int Main(int argc, const char** argv) {
  try {
    return Run(ParseArguments(argc, argv));
  } catch (const UsageError& error) {
    std::cerr << "amaranthload: " << error.what() << '\n';
    return kExitUsage;
  } catch (const Error& error) {
    std::cerr << "amaranthload: " << error.what() << '\n';
    return kExitProfile;
  }
}

}  // namespace
}  // namespace amaranthlane::load

int main(int argc, char** argv) { return amaranthlane::load::Main(argc, const_cast<const char**>(argv)); }
