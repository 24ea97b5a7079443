#ifndef AMARANTHLANE_CORE_LEADERSHIP_WITNESS_H_
#define AMARANTHLANE_CORE_LEADERSHIP_WITNESS_H_

#include "core/leadership/leadership_state.h"

// The witness's part: makes grants to one holder at a time, closes ballots, and learns after a restart what it had
// closed.
namespace amaranthlane::leadership {

// Makes, refuses or ends one grant. Must not be called while this witness is silent.
GrantReplyEntry DecideGrant(LeadershipState& state, TimePoint now, const Holder& holder,
                            const GrantRequestEntry& entry);

// Closes the ballots below the request's, or refuses. Must not be called while this witness is silent.
CloseReply DecideClose(LeadershipState& state, TimePoint now, const CloseRequest& request);

// Answers a request of another VM, or rejects it while this witness is silent.
void ReplyToRequest(LeadershipState& state, TimePoint now, const GrantRequestReceived& event);
void ReplyToRequest(LeadershipState& state, TimePoint now, const CloseRequestReceived& event);

// Handles the receipt of the record from the platform. `epoch` is the record's, or 0 if there is no record.
void ConfirmByPlatform(WitnessState& witness_state, Epoch epoch);

// Handles the reply of another witness of `group` to an inquiry.
void HandleInquiryReply(LeadershipState& state, GroupState& group, const CloseReplyReceived& event);

// Sends the inquiry of a restarted witness that has been asked for grants.
void RunInquiry(LeadershipState& state, TimePoint now, const GroupName& name, GroupState& group);

}  // namespace amaranthlane::leadership

#endif  // AMARANTHLANE_CORE_LEADERSHIP_WITNESS_H_
