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

// Load profiles: YAML descriptions of a load run.
namespace amaranthlane::load {

enum class StreamMode : std::uint8_t {
  // Writes that must run at most once, each to a key of its own.
  kWrite,
  // Reads of the same session's last write in the group.
  kReadOwn,
  // Reads of writes of any session.
  kRead,
};

// Multiplies a stream's rate by `factor` from `from` until `until`, both counted from the start of the run.
struct RateChange {
  std::chrono::milliseconds from{0};
  std::chrono::milliseconds until{0};
  double factor = 1.0;
};

// Requests of one kind. Their send times don't depend on responses.
struct Stream {
  std::string kind;
  StreamMode mode = StreamMode::kWrite;
  // Shown in the report only. The rank that the fleet applies comes from the selectors in its configuration.
  Rank rank = Rank::kNormal;
  // Requests per second, over all groups.
  double rate = 0;
  std::chrono::milliseconds time_limit{2000};
  // The longest staleness that the kind's selector permits. A kRead stream reads only writes that are at least this
  // old. The age bounds that replicas report are checked against it unless it is zero.
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
  // The kind of the reads that verify all writes at the end; its selector must route them to the primary. If empty, no
  // write is verified.
  std::string verify_kind;
  std::vector<Stream> streams;
};

// An invalid or unreadable profile.
class ProfileError : public Error {
 public:
  ProfileError(std::string source, std::size_t line, std::string key, std::string expected);

  std::string source;
  // Counted from 1; 0 if no line applies.
  std::size_t line;
  std::string key;
  std::string expected;
};

// Parses a profile in YAML. `source` names it in error messages. Throws ProfileError.
Profile ParseProfile(std::string_view text, const std::string& source);
// Reads and parses the file. Throws ProfileError.
Profile LoadProfile(const std::string& path);

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_PROFILE_H_
