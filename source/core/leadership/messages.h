#ifndef AMARANTHLANE_CORE_LEADERSHIP_MESSAGES_H_
#define AMARANTHLANE_CORE_LEADERSHIP_MESSAGES_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <vector>

#include "core/leadership/record.h"
#include "core/types.h"

// The messages between holders, candidates and witnesses, and their JSON form.
namespace amaranthlane::leadership {

// Requests a lease grant for one group: for the grant duration the witness makes no grant to another holder. The holder
// leads while it has grants from a majority of its witnesses.
struct GrantRequestEntry {
  GroupName group;
  Ballot ballot;
  // True: the holder no longer acts as leader, and the witness ends its grant.
  bool release = false;

  bool operator==(const GrantRequestEntry&) const = default;
};

// All requests of one holder to one witness, in one message with an entry for each group.
struct GrantRequest {
  Holder holder;
  std::vector<GrantRequestEntry> entries;

  bool operator==(const GrantRequest&) const = default;
};

// The reply to one entry of a grant request.
struct GrantReplyEntry {
  GroupName group;
  // The requested ballot.
  Ballot ballot;
  bool granted = false;
  // The witness grants nothing below this ballot.
  Ballot floor;

  bool operator==(const GrantReplyEntry&) const = default;
};

struct GrantReply {
  VmName witness;
  std::vector<GrantReplyEntry> entries;

  bool operator==(const GrantReply&) const = default;
};

// Asks a witness to close all ballots below `ballot`, that is, to grant nothing below it from now on. A witness that
// has restarted also sends it to the other witnesses to learn what they have closed; it then carries the lowest ballot
// of the epoch for which the witness is asked for a grant, which closes nothing of that epoch.
struct CloseRequest {
  GroupName group;
  Ballot ballot;
  Holder closer;
  // True: the platform's record names the closer as the leader for this ballot. False: the closer suspects that the
  // holder has failed; a witness refuses while that holder renews its grant.
  bool decided = false;

  bool operator==(const CloseRequest&) const = default;
};

struct CloseReply {
  VmName witness;
  GroupName group;
  // The ballot of the request.
  Ballot ballot;
  bool accepted = false;
  // Refused because the current holder renewed its grant within `holder_timeout`.
  bool holder_alive = false;
  // The witness has restarted and doesn't know yet what it had closed in this epoch.
  bool recovering = false;
  Ballot floor;
  // The remaining time of the grant to another holder; 0 when there is none.
  std::chrono::milliseconds remaining{0};

  bool operator==(const CloseReply&) const = default;
};

// Each throws ParseError when `value` isn't the message.
GrantRequest ParseGrantRequest(const nlohmann::json& value);
GrantReply ParseGrantReply(const nlohmann::json& value);
CloseRequest ParseCloseRequest(const nlohmann::json& value);
CloseReply ParseCloseReply(const nlohmann::json& value);

nlohmann::json ToJson(const GrantRequest& request);
nlohmann::json ToJson(const GrantReply& reply);
nlohmann::json ToJson(const CloseRequest& request);
nlohmann::json ToJson(const CloseReply& reply);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_MESSAGES_H_
