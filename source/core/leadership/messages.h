#ifndef AMARANTHLANE_CORE_LEADERSHIP_MESSAGES_H_
#define AMARANTHLANE_CORE_LEADERSHIP_MESSAGES_H_

#include <chrono>
#include <nlohmann/json.hpp>
#include <vector>

#include "core/leadership/record.h"
#include "core/types.h"

// The messages between holders, candidates and witnesses, and their JSON form.
namespace amaranthlane::leadership {

// Asks a witness to help nobody else for the promise length, for one group.
struct PromiseRequestEntry {
  GroupName group;
  Ballot ballot;
  // True: the holder acts no more, and the witness forgets its promise.
  bool release = false;

  bool operator==(const PromiseRequestEntry&) const = default;
};

// All asks of one holder to one witness, in one message.
struct PromiseRequest {
  Holder holder;
  std::vector<PromiseRequestEntry> entries;

  bool operator==(const PromiseRequest&) const = default;
};

// The witness's answer to one ask.
struct PromiseAnswerEntry {
  GroupName group;
  // The ballot that was asked for.
  Ballot ballot;
  bool granted = false;
  // The witness grants nothing below this ballot.
  Ballot floor;

  bool operator==(const PromiseAnswerEntry&) const = default;
};

struct PromiseAnswer {
  VmName witness;
  std::vector<PromiseAnswerEntry> entries;

  bool operator==(const PromiseAnswer&) const = default;
};

// Asks a witness to grant nothing below `ballot` from now on. A witness that restarted sends it with the ballot that it
// is asked to promise, which closes nothing, to learn what the other witnesses have closed.
struct CloseRequest {
  GroupName group;
  Ballot ballot;
  Holder closer;
  // True: the platform's record has decided for this ballot. False: a takeover on suspicion, which a witness refuses
  // while it hears from the present holder.
  bool decided = false;

  bool operator==(const CloseRequest&) const = default;
};

struct CloseAnswer {
  VmName witness;
  GroupName group;
  // The ballot of the request.
  Ballot ballot;
  bool accepted = false;
  // Refused because the present holder renewed its promise lately.
  bool holder_alive = false;
  // The witness restarted and doesn't know yet what it had closed in this epoch.
  bool recovering = false;
  Ballot floor;
  // What is left of the promise to another holder.
  std::chrono::milliseconds remaining{0};

  bool operator==(const CloseAnswer&) const = default;
};

// Each throws ParseError when `value` isn't the message.
PromiseRequest ParsePromiseRequest(const nlohmann::json& value);
PromiseAnswer ParsePromiseAnswer(const nlohmann::json& value);
CloseRequest ParseCloseRequest(const nlohmann::json& value);
CloseAnswer ParseCloseAnswer(const nlohmann::json& value);

nlohmann::json ToJson(const PromiseRequest& request);
nlohmann::json ToJson(const PromiseAnswer& answer);
nlohmann::json ToJson(const CloseRequest& request);
nlohmann::json ToJson(const CloseAnswer& answer);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_MESSAGES_H_
