#include "common/json.h"
#include "core/coordination/messages.h"
#include "core/leadership/messages.h"
#include "core/leadership/record.h"
#include "core/membership/heartbeat.h"
#include "core/quotas/permit_messages.h"
#include "core/replicas/group_record.h"
#include "core/replicas/position_reply.h"
#include "core/sessions/session_token.h"
#include "core/transactions/transaction.h"
#include "parse_functions.h"
#include "round_trip.h"

namespace amaranthlane::fuzz {

namespace {

void RoundTripToken(std::string_view text) {
  const sessions::SessionToken token = sessions::SessionToken::Parse(text);
  RequireUnchanged(sessions::SessionToken::Parse(token.Encode()) == token);
}

void RoundTripTransactionId(std::string_view text) {
  const transactions::TransactionId id = transactions::ParseTransactionId(text);
  RequireUnchanged(transactions::FormatTransactionId(id) == text);
}

std::string RecordSample() {
  return R"({"version":4,"epoch":2,"fencing_token":7,"duty_since":2,"members":[{"vm":"a","address":"127.0.0.1:1"}],
      "former":[{"epoch":1,"replaced_at":3,"vms":["a","b"]}],
      "groups":{"g":{"term":3,"primary":"e1","changing":true,"changed_at":4}},"update_id":"a/1/4"})";
}

std::string TokenSample() {
  sessions::SessionToken token;
  token.Merge("group-1", {3, 41});
  token.Merge("group-2", {1, 7});
  return token.Encode();
}

}  // namespace

std::vector<ParseFunction> CoreParseFunctions() {
  return {
      {"LeadershipRecord",
       RoundTrip<leadership::ParseLeadershipRecord>,
       {R"({"epoch":3,"leader":{"vm":"a","incarnation":5},"successors":["b"],"witnesses":["a","b","c"],
          "unclosed":[{"epoch":2,"witnesses":["a","b"]}],"update_id":"u","released":false})"}},
      {"PromiseRequest",
       RoundTrip<leadership::ParseGrantRequest>,
       {leadership::ToJson(leadership::GrantRequest{{"a", 5}, {{"g", {3, 1}, true}}}).dump()}},
      {"PromiseAnswer",
       RoundTrip<leadership::ParseGrantReply>,
       {leadership::ToJson(leadership::GrantReply{"b", {{"g", {3, 0}, true, {3, 0}}}}).dump()}},
      {"CloseRequest",
       RoundTrip<leadership::ParseCloseRequest>,
       {leadership::ToJson(leadership::CloseRequest{"g", {3, 1}, {"a", 5}, true}).dump()}},
      {"CloseAnswer",
       RoundTrip<leadership::ParseCloseReply>,
       {leadership::ToJson(leadership::CloseReply{"b", "g", {3, 1}, true, false, false, {3, 1}, {}}).dump()}},
      {"Heartbeat",
       RoundTrip<membership::ParseHeartbeat>,
       {membership::ToJson(membership::Heartbeat{{"a", 5, 9, membership::VmState::kWorking, "d", "r", "127.0.0.1:1"},
                                                 {{"b", 6, 2, membership::VmState::kLeaving, "", "", ""}}})
            .dump()}},
      {"GroupRecord",
       RoundTrip<replicas::ParseGroupRecord>,
       {R"({"group":"g","region":"r","term":2,"primary":"e1","slots":5,"connections":35,"update_id":"u",
          "history":[{"term":2,"base":{"term":1,"offset":8}}],"instances":[
          {"endpoint":"e1","address":"127.0.0.1:1","data_centre":"d","state":"live"},
          {"endpoint":"e2","address":"127.0.0.1:2","data_centre":"d","state":"leaving"}]})"}},
      {"CoordinationRecord", RoundTrip<coordination::ParseCoordinationRecord>, {RecordSample()}},
      {"CoordinationBeat",
       ParseOnly<coordination::ParseHeartbeatRequest>,
       {R"({"vm":"a","incarnation":5,"address":"127.0.0.1:1","relay_address":"","data_centre":"d","version":3,
          "busy":["g"],"suspects":[],"reaches":["g"],"released":{"g":3},"leaving":false,"fleet_digest":"7",
          "store":{"configuration_version":4,"directory_revision":9,"directory_digest":"8"}})"}},
      {"CoordinationReply",
       ParseOnly<coordination::ParseHeartbeatReply>,
       {R"({"vm":"a","incarnation":5,"promised":true,"version":3,"store_silence_ms":4,"wants_relief":false,
          "fleet_size":9,"store":{"configuration_version":4,"directory_revision":9,"directory_digest":"8"},"fleet":[{"vm":"b","relay_address":"",
          "data_centre":"d"}],"positions":[{"group":"g","term":2,"offset":9,"age_ms":10}],"record":)" +
        RecordSample() + "}"}},
      {"PermitRequest",
       RoundTrip<quotas::ParsePermitRequest>,
       {quotas::ToJson(quotas::PermitRequest{{{"a", 3}, {"b", 1}}}).dump()}},
      {"PermitReply",
       RoundTrip<quotas::ParsePermitReply>,
       {quotas::ToJson(
            quotas::PermitReply{true, {{"a", {1, std::chrono::milliseconds(4), std::chrono::milliseconds(2)}}}})
            .dump()}},
      {"PositionAnswer",
       ParseOnly<replicas::ParsePositionReply>,
       {R"({"endpoint":"e","role":"replica","term":2,"position":{"term":2,"offset":8},"synced_term":2})"}},
      {"SessionToken", RoundTripToken, {TokenSample()}},
      {"TransactionId", RoundTripTransactionId, {transactions::FormatTransactionId({1, 0xFEDCBA9876543210})}},
  };
}

}  // namespace amaranthlane::fuzz
