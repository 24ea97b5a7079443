#ifndef AMARANTHLANE_LOAD_PROFILE_H_
#define AMARANTHLANE_LOAD_PROFILE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "common/error.h"
#include "core/types.h"
#include "net/address.h"

// The description of a load run.
namespace amaranthlane::load {

enum class StreamMode : std::uint8_t {
  // Writes that must never run twice, each to a key of its own.
  kWrite,
  // Reads of what the same session wrote last.
  kReadOwn,
  // Reads of what any session has written.
  kRead,
};

// From one moment of the run to another the rate is multiplied.
struct RateChange {
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};
  double factor = 1.0;
};

// Requests of one kind, at times that don't depend on the answers.
struct Stream {
  std::string kind;
  StreamMode mode = StreamMode::kWrite;
  // Only groups the report's rows; what is owed follows from the selectors in force.
  Rank rank = Rank::kNormal;
  // Requests a second, over all groups.
  double rate = 0;
  std::chrono::milliseconds time_limit{2000};
  // The greatest age that the kind's selector allows, checked against the answers. Zero: not checked.
  std::chrono::milliseconds max_staleness{0};
  std::vector<RateChange> rate_changes;
};

struct Profile {
  std::chrono::milliseconds duration{10000};
  std::uint64_t seed = 1;
  std::string caller_key;
  std::vector<net::Address> vms;
  std::vector<GroupName> groups;
  std::uint64_t sessions = 64;
  std::uint64_t connections_per_vm = 64;
  // The kind whose reads come from the primary, for the check at the end.
  std::string verify_kind;
  std::vector<Stream> streams;
};

// A profile that can't be used.
class ProfileError : public Error {
 public:
  ProfileError(std::string source, std::size_t line, std::string key, std::string expected);

  std::string source;
  // Counted from 1; 0 where there is none.
  std::size_t line;
  std::string key;
  std::string expected;
};

// Reads a profile in YAML. `source` names it in errors. Throws ProfileError.
Profile ParseProfile(std::string_view text, const std::string& source);
// Reads the file. Throws ProfileError.
Profile LoadProfile(const std::string& path);

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_PROFILE_H_
