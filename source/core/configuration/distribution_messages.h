#ifndef AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_MESSAGES_H_
#define AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/configuration/differences.h"
#include "core/configuration/digest.h"
#include "core/configuration/platform_object.h"
#include "core/configuration/relay_selection.h"
#include "core/types.h"

// What the distribution system is told and what it asks for. `id` pairs an answer with its request; an answer with
// another id than the one expected is late and only its objects are used.
namespace amaranthlane::configuration {

// ---- Events ----

// The VMs that are alive and not leaving, this one included.
struct MembersChanged {
  std::vector<Member> members;
};

// A heartbeat or an early digest came from a peer.
struct PeerDigestReceived {
  VmName vm;
  ConfigurationDigest digest;
};

// `GET /v1/watch` was answered.
struct WatchAnswered {
  std::uint64_t id = 0;
  ObjectVersion version = 0;
  std::vector<PlatformObject> objects;
};

// The watch's connection failed or its answer was no answer.
struct WatchFailed {
  std::uint64_t id = 0;
};

// `GET /v1/objects/{kind}` was answered.
struct ListAnswered {
  std::uint64_t id = 0;
  std::string kind;
  ObjectVersion version = 0;
  std::vector<PlatformObject> objects;
};

struct ListFailed {
  std::uint64_t id = 0;
};

// A peer answered a PullDifferences.
struct DifferencesReceived {
  std::uint64_t id = 0;
  VmName vm;
  DifferencesAnswer answer;
};

struct DifferencesFailed {
  std::uint64_t id = 0;
  VmName vm;
};

// Another part of the VM has seen that the platform holds at least this version of an object, such as by a refusal
// that names a newer term.
struct NewerVersionSeen {
  std::string kind;
  std::string name;
  ObjectVersion version = 0;
};

// The object as the platform gave it: the answer to a ReadObject, or the result of an edit through this VM.
struct ObjectLearned {
  PlatformObject object;
};

struct ReadFailed {
  std::string kind;
  std::string name;
};

using DistributionEvent =
    std::variant<MembersChanged, PeerDigestReceived, WatchAnswered, WatchFailed, ListAnswered, ListFailed,
                 DifferencesReceived, DifferencesFailed, NewerVersionSeen, ObjectLearned, ReadFailed>;

// ---- Actions ----

// Calls `GET /v1/watch` with these kinds. Report WatchAnswered or WatchFailed.
struct OpenWatch {
  std::uint64_t id = 0;
  std::vector<std::string> kinds;
  ObjectVersion after = 0;
  std::chrono::milliseconds wait{};
};

// Closes the watch's connection; nothing more is to be reported for it.
struct CloseWatch {
  std::uint64_t id = 0;
};

// Calls `GET /v1/objects/{kind}`. Report ListAnswered or ListFailed.
struct ListObjects {
  std::uint64_t id = 0;
  std::string kind;
};

// Calls `GET /v1/objects/{kind}/{name}`. Report ObjectLearned or ReadFailed.
struct ReadObject {
  std::string kind;
  std::string name;
};

// Sends this VM's digest at once, as an early heartbeat, to each of these VMs.
struct SendDigest {
  std::vector<VmName> to;
  // Nothing is known to differ: the digest's summary will do, if the receiver answers another one with its digest.
  bool summary = false;
};

// Sends the request to the peer. Report DifferencesReceived or DifferencesFailed.
struct PullDifferences {
  std::uint64_t id = 0;
  VmName peer;
  DifferencesRequest request;
};

using DistributionAction = std::variant<OpenWatch, CloseWatch, ListObjects, ReadObject, SendDigest, PullDifferences>;

// The version up to which a VM says that every change is in force there.
struct InForceEntry {
  VmName vm;
  std::string data_centre;
  ObjectVersion complete_through = 0;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_MESSAGES_H_
