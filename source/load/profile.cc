#include "load/profile.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <utility>

namespace amaranthlane::load {

namespace {

constexpr double kMaxRate = 1e6;
constexpr std::uint64_t kMaxCount = 100000;
constexpr std::uint64_t kMaxMs = 24ULL * 60 * 60 * 1000;

// Reads the members of one YAML mapping. Throws ProfileError on unknown keys and invalid values.
class MappingReader {
 public:
  MappingReader(const YAML::Node& node, std::string source, std::initializer_list<std::string_view> known_keys)
      : node(node), source(std::move(source)) {
    if (!node.IsMap()) {
      this->Fail(node, "", "a mapping");
    }
    for (const auto& member : node) {
      const std::string key = member.first.Scalar();
      if (std::find(known_keys.begin(), known_keys.end(), key) == known_keys.end()) {
        this->Fail(member.first, key, "a known key");
      }
    }
  }

  bool Has(const char* key) const { return static_cast<bool>(this->node[key]); }

  template <typename Value>
  Value Get(const char* key, const char* expected) const {
    const YAML::Node member = this->node[key];
    try {
      if (member && member.IsScalar()) {
        return member.as<Value>();
      }
    } catch (const YAML::Exception&) {
      // Reported below, with the line number.
    }
    this->Fail(member ? member : this->node, key, expected);
  }

  std::uint64_t Count(const char* key, std::uint64_t fallback, std::uint64_t max_value) const {
    if (!this->Has(key)) {
      return fallback;
    }
    const auto value = this->Get<std::uint64_t>(key, "a non-negative whole number");
    if (value > max_value) {
      this->Fail(this->node[key], key, "at most " + std::to_string(max_value));
    }
    return value;
  }

  std::chrono::milliseconds Milliseconds(const char* key, std::chrono::milliseconds fallback) const {
    return std::chrono::milliseconds(this->Count(key, static_cast<std::uint64_t>(fallback.count()), kMaxMs));
  }

  double Number(const char* key, double fallback, double max_value) const {
    if (!this->Has(key)) {
      return fallback;
    }
    const auto value = this->Get<double>(key, "a number");
    if (!(value >= 0 && value <= max_value)) {
      this->Fail(this->node[key], key, "a number from 0 to " + std::to_string(max_value));
    }
    return value;
  }

  // The member, which must be a sequence if it is present. An absent one has no elements.
  YAML::Node Sequence(const char* key) const {
    const YAML::Node member = this->node[key];
    if (member && !member.IsSequence()) {
      this->Fail(member, key, "a sequence");
    }
    return member;
  }

  [[noreturn]] void Fail(const YAML::Node& location, const std::string& key, const std::string& expected) const {
    const int line = location.Mark().line;
    throw ProfileError(this->source, line < 0 ? 0 : static_cast<std::size_t>(line) + 1, key, expected);
  }

 private:
  YAML::Node node;
  std::string source;
};

StreamMode ParseMode(const MappingReader& reader, const YAML::Node& location) {
  const auto name = reader.Get<std::string>("mode", "write, read_own or read");
  if (name == "write") {
    return StreamMode::kWrite;
  }
  if (name == "read_own") {
    return StreamMode::kReadOwn;
  }
  if (name == "read") {
    return StreamMode::kRead;
  }
  reader.Fail(location, "mode", "write, read_own or read");
}

RateChange ParseRateChange(const YAML::Node& node, const std::string& source) {
  const MappingReader reader(node, source, {"from_ms", "until_ms", "factor"});
  RateChange change;
  change.from = reader.Milliseconds("from_ms", change.from);
  change.until = reader.Milliseconds("until_ms", change.until);
  change.factor = reader.Number("factor", change.factor, kMaxRate);
  return change;
}

Stream ParseStream(const YAML::Node& node, const std::string& source) {
  const MappingReader reader(node, source,
                             {"kind", "mode", "rank", "rate", "time_limit_ms", "maximum_age_ms", "changes"});
  Stream stream;
  stream.kind = reader.Get<std::string>("kind", "the name of a kind of work");
  stream.mode = ParseMode(reader, node);
  if (reader.Has("rank")) {
    try {
      stream.rank = ParseRank(reader.Get<std::string>("rank", "urgent, normal or bulk"));
    } catch (const ParseError& failure) {
      reader.Fail(node["rank"], "rank", failure.expected);
    }
  }
  stream.rate = reader.Number("rate", 0, kMaxRate);
  stream.time_limit = reader.Milliseconds("time_limit_ms", stream.time_limit);
  stream.max_staleness = reader.Milliseconds("maximum_age_ms", stream.max_staleness);
  for (const auto& change : reader.Sequence("changes")) {
    stream.rate_changes.push_back(ParseRateChange(change, source));
  }
  return stream;
}

Profile ParseDocument(const YAML::Node& node, const std::string& source) {
  const MappingReader reader(node, source,
                             {"duration_ms", "seed", "caller_key", "vms", "groups", "sessions", "connections_per_vm",
                              "verify_kind", "streams"});
  Profile profile;
  profile.duration = reader.Milliseconds("duration_ms", profile.duration);
  profile.seed = reader.Count("seed", profile.seed, UINT64_MAX);
  profile.sessions = std::max<std::uint64_t>(reader.Count("sessions", profile.sessions, kMaxCount), 1);
  profile.connections_per_vm =
      std::max<std::uint64_t>(reader.Count("connections_per_vm", profile.connections_per_vm, kMaxCount), 1);
  if (reader.Has("caller_key")) {
    profile.caller_key = reader.Get<std::string>("caller_key", "a bearer key");
  }
  if (reader.Has("verify_kind")) {
    profile.verify_kind = reader.Get<std::string>("verify_kind", "the name of a kind of work");
  }
  for (const auto& vm : reader.Sequence("vms")) {
    try {
      profile.vms.push_back(net::ParseAddress(vm.IsScalar() ? vm.Scalar() : ""));
    } catch (const ParseError& failure) {
      reader.Fail(vm, "vms", failure.expected);
    }
  }
  for (const auto& group : reader.Sequence("groups")) {
    profile.groups.push_back(group.IsScalar() ? group.Scalar() : "");
  }
  for (const auto& stream : reader.Sequence("streams")) {
    profile.streams.push_back(ParseStream(stream, source));
  }
  if (profile.streams.empty()) {
    reader.Fail(node, "streams", "at least one stream");
  }
  return profile;
}

}  // namespace

ProfileError::ProfileError(std::string source, std::size_t line, std::string key, std::string expected)
    : Error(source + ":" + std::to_string(line) + ": '" + key + "': expected " + expected),
      source(std::move(source)),
      line(line),
      key(std::move(key)),
      expected(std::move(expected)) {}

Profile ParseProfile(std::string_view text, const std::string& source) {
  try {
    return ParseDocument(YAML::Load(std::string(text)), source);
  } catch (const YAML::Exception& failure) {
    const int line = failure.mark.line;
    throw ProfileError(source, line < 0 ? 0 : static_cast<std::size_t>(line) + 1, "", "a YAML document");
  }
}

Profile LoadProfile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw ProfileError(path, 0, "", "a readable file");
  }
  std::ostringstream text;
  text << file.rdbuf();
  return ParseProfile(text.str(), path);
}

}  // namespace amaranthlane::load
