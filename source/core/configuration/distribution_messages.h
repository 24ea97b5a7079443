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

// The events that the distribution system receives and the actions that it requests. `id` matches a response to its
// request. A response with another id than the pending one is late, and only its objects are used.
namespace amaranthlane::configuration {

// ---- Events ----

// The VMs that are alive and not leaving, this one included.
struct MembersChanged {
  std::vector<Member> members;
};

// A peer's heartbeat or early digest arrived.
struct PeerDigestReceived {
  VmName vm;
  ConfigurationDigest digest;
};

// `GET /v1/watch` returned a valid response.
struct WatchSucceeded {
  std::uint64_t id = 0;
  ObjectVersion version = 0;
  std::vector<PlatformObject> objects;
};

// The watch's connection failed, or its response was invalid.
struct WatchFailed {
  std::uint64_t id = 0;
};

// `GET /v1/objects/{kind}` returned a valid response.
struct ListSucceeded {
  std::uint64_t id = 0;
  std::string kind;
  ObjectVersion version = 0;
  std::vector<PlatformObject> objects;
};

struct ListFailed {
  std::uint64_t id = 0;
};

// A peer replied to a PullDifferences.
struct DifferencesReceived {
  std::uint64_t id = 0;
  VmName vm;
  DifferencesReply reply;
};

struct DifferencesFailed {
  std::uint64_t id = 0;
  VmName vm;
};

// Another part of the VM learned that the platform holds at least this version of an object, for example from a
// rejection that names a newer term.
struct NewerVersionSeen {
  std::string kind;
  std::string name;
  ObjectVersion version = 0;
};

// The platform's current object: the response to a ReadObject, or the result of an edit through this VM.
struct ObjectReceived {
  PlatformObject object;
};

struct ReadFailed {
  std::string kind;
  std::string name;
};

using DistributionEvent =
    std::variant<MembersChanged, PeerDigestReceived, WatchSucceeded, WatchFailed, ListSucceeded, ListFailed,
                 DifferencesReceived, DifferencesFailed, NewerVersionSeen, ObjectReceived, ReadFailed>;

// ---- Actions ----

// Calls `GET /v1/watch` with these kinds. Report WatchSucceeded or WatchFailed.
struct OpenWatch {
  std::uint64_t id = 0;
  std::vector<std::string> kinds;
  ObjectVersion after = 0;
  std::chrono::milliseconds wait{};
};

// Closes the watch's connection. No event is reported for it after that.
struct CloseWatch {
  std::uint64_t id = 0;
};

// Calls `GET /v1/objects/{kind}`. Report ListSucceeded or ListFailed.
struct ListObjects {
  std::uint64_t id = 0;
  std::string kind;
};

// Calls `GET /v1/objects/{kind}/{name}`. Report ObjectReceived or ReadFailed.
struct ReadObject {
  std::string kind;
  std::string name;
};

// Sends this VM's digest to each of these VMs at once, in an early heartbeat.
struct SendDigest {
  std::vector<VmName> to;
  // True when no difference is known. The digest's summary may then be sent instead, provided that a receiver with
  // another summary replies with its digest.
  bool allow_summary = false;
};

// Sends the request to the peer. Report DifferencesReceived or DifferencesFailed.
struct PullDifferences {
  std::uint64_t id = 0;
  VmName peer;
  DifferencesRequest request;
};

using DistributionAction = std::variant<OpenWatch, CloseWatch, ListObjects, ReadObject, SendDigest, PullDifferences>;

// The version up to which a VM has applied every change, by its own report.
struct AppliedVersion {
  VmName vm;
  std::string data_centre;
  ObjectVersion complete_through = 0;
};

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_DISTRIBUTION_MESSAGES_H_
