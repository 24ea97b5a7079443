#include "client/statement.h"
#include "common/json.h"
#include "daemon/caller_request.h"
#include "daemon/endpoint_protocol.h"
#include "daemon/heartbeat_message.h"
#include "daemon/work.h"
#include "line_round_trip.h"
#include "load/profile.h"
#include "net/address.h"
#include "parse_functions.h"
#include "platform/decoders.h"
#include "platform/line_codec.h"
#include "platform/stored_object.h"
#include "proxy/peer_sync_messages.h"
#include "proxy/relay_notice.h"
#include "round_trip.h"
#include "tracing/trace_context.h"

namespace amaranthlane::fuzz {

namespace {

void RoundTripWorkRequest(std::string_view text) {
  const daemon::WorkRequest request = daemon::ParseWorkRequest(text, TimePoint());
  const daemon::WorkRequest reparsed =
      daemon::ParseWorkRequest(daemon::FormatWorkRequest(request, TimePoint()), TimePoint());
  RequireUnchanged(reparsed.statement == request.statement && reparsed.requirements == request.requirements &&
                   reparsed.deadline == request.deadline && reparsed.transaction == request.transaction);
}

void RoundTripWorkReply(std::string_view text) {
  const daemon::WorkReply reply = daemon::ParseWorkReply(text);
  const daemon::WorkReply reparsed = daemon::ParseWorkReply(daemon::FormatWorkReply(reply));
  RequireUnchanged(reparsed.outcome == reply.outcome && reparsed.problem == reply.problem &&
                   reparsed.position == reply.position);
}

void RoundTripHeartbeat(std::string_view text) {
  daemon::ParseHeartbeatMessage(daemon::FormatHeartbeatMessage(daemon::ParseHeartbeatMessage(text)));
}

void RoundTripRelayNotice(std::string_view text) {
  const proxy::KnownConfiguration known = proxy::ParseRelayNotice(text);
  const proxy::KnownConfiguration reparsed = proxy::ParseRelayNotice(proxy::EncodeRelayNotice(known));
  RequireUnchanged(reparsed.version == known.version && reparsed.address == known.address);
}

net::HttpResponse ResponseWith(unsigned status, std::string_view body) {
  net::HttpResponse response;
  response.status = status;
  response.body = std::string(body);
  return response;
}

void ParseEndpointSuccess(std::string_view text) { daemon::ParseEndpointReply(ResponseWith(200, text)); }

void ParseEndpointRefusal(std::string_view text) { daemon::ParseEndpointReply(ResponseWith(409, text)); }

void ParseOutcomeOfKey(std::string_view text) { daemon::ParseKeyOutcome(ResponseWith(200, text)); }

void ParseCallerRequestBody(std::string_view text) {
  net::HttpRequest request{"POST", "/v1/groups/g/statements", {}, std::string(text)};
  daemon::ParseCallerRequest(request);
}

void ParseCallerRequestTarget(std::string_view text) {
  net::HttpRequest request{"POST", std::string(text), {}, R"({"kind":"k","mode":"read","statement":{}})"};
  daemon::ParseCallerRequest(request);
}

void ParseCallerResponse(std::string_view text) {
  client::ParseStatementResponse(ResponseWith(200, text));
  client::ParseStatementResponse(ResponseWith(503, text));
}

void ParseLoadProfile(std::string_view text) { load::ParseProfile(text, "fuzz"); }

void RoundTripAddress(std::string_view text) {
  const net::Address address = net::ParseAddress(text);
  RequireUnchanged(net::ParseAddress(net::ToString(address)) == address);
}

void RoundTripTraceparent(std::string_view text) {
  const auto context = tracing::ParseTraceparent(text);
  RequireUnchanged(!context || tracing::ParseTraceparent(tracing::FormatTraceparent(*context)) == context);
}

void ParseStatusRow(std::string_view text) { platform::LineCodec().ParseStatus(text); }

void ParseStoreObject(std::string_view text) {
  platform::ParseStoredObject(json::ParseSharedDocument(text, "store response"));
}

void ParsePlatformEntry(std::string_view text) {
  platform::ParseEndpointEntry("e", json::ParseSharedDocument(text, "store response"));
}

void ParsePlatformConfiguration(std::string_view text) {
  platform::ParseConfiguration(json::ParseSharedDocument(text, "store response"));
}

std::string WorkSample() {
  daemon::WorkRequest request;
  request.caller = "maker";
  request.group = "g";
  request.statement = R"({"op":"get"})";
  request.idempotency_key = "key";
  request.token = LogPosition{1, 2};
  request.deadline = TimePoint(std::chrono::seconds(3));
  return daemon::FormatWorkRequest(request, TimePoint());
}

std::string DoneSample() {
  daemon::WorkReply reply;
  reply.outcome = Outcome::kDone;
  reply.pressure.emplace();
  return daemon::FormatWorkReply(reply);
}

std::string HeartbeatMessageSample() {
  daemon::HeartbeatMessage message;
  message.heartbeat.sender = {"a", 5, 9, membership::VmState::kWorking, "d", "r", "127.0.0.1:1"};
  message.configuration = {3, {{"labels", 7, 3}}};
  message.led_groups = {{"g", {3, 1}}};
  return daemon::FormatHeartbeatMessage(message);
}

}  // namespace

std::vector<ParseFunction> ProcessParseFunctions() {
  return {
      {"WorkRequest", RoundTripWorkRequest, {WorkSample()}},
      {"WorkAnswer",
       RoundTripWorkReply,
       {DoneSample(), daemon::FormatWorkReply(daemon::MakeFailedReply(daemon::WorkProblem::kOverload))}},
      {"Beat", RoundTripHeartbeat, {HeartbeatMessageSample()}},
      {"EndpointReply",
       ParseEndpointSuccess,
       {R"({"request_id":"7","outcome":"done","result":{"value":1},"term":1,"position":{"term":1,"offset":2},
          "replayed":false})"}},
      {"EndpointRefusal",
       ParseEndpointRefusal,
       {R"({"type":"urn:amaranthlane:stale-term","request_id":"7","outcome":"not_run"})"}},
      {"KeyOutcome", ParseOutcomeOfKey, {R"({"known":true,"result":{"value":1},"position":{"term":1,"offset":2}})"}},
      {"CallerRequestBody",
       ParseCallerRequestBody,
       {R"({"kind":"lodgement","mode":"write","statement":{"op":"put"},"time_limit_ms":100})"}},
      {"CallerRequestTarget",
       ParseCallerRequestTarget,
       {"/v1/groups/g/statements", "/v1/transactions/g~k~000000000000000100000000000000ff/commit",
        "/v1/groups/g%20h/transactions"}},
      {"CallersAnswer",
       ParseCallerResponse,
       {R"({"type":"urn:amaranthlane:overload","outcome":"not_run","result":{},"replayed":false,"age_bound_ms":1,
          "served_by":{"endpoint":"e","role":"replica"},"position":{"term":1,"offset":2}})"}},
      {"LoadProfile",
       ParseLoadProfile,
       {"duration_ms: 100\nvms: [\"127.0.0.1:1\"]\nstreams:\n  - {kind: a, mode: write, rank: bulk, rate: 5,\n"
        "     changes: [{from_ms: 1, until_ms: 2, factor: 3}]}\n"}},
      {"CallersLine",
       RoundTripCallersLines,
       {"CONNECT db who\r\n", "QUERY 5c PREPARE s1 WRITE q\r\n", "QUERY 5c EXECUTE s1 a x y\r\n", "QUIT\r\n",
        "QUERY 5d WRITE 1a4 some data\r\n", "QUERY 5e SET zone a b\r\n", "QUERY 5f READ 1a4\r\n"}},
      {"EndpointsLine",
       RoundTripEndpointsLines,
       {"ROW x y\r\n", "COMPLETE 7.1f\r\n", "ERROR LAGGING x\r\n", "READY T 3.1209\r\n"}},
      {"ConfigurationMessage",
       ParseOnly<proxy::ParseConfigurationMessage>,
       {R"({"version":3,"routes":[{"name":"r","database":"d","group":"g","freshness":2,"greatest_age_ms":5,"rank":1,
          "public":false,"statement_limit_ms":9,"target_ms":4}],"requires_keys":true,
          "groups":[{"name":"g","connections":3,"synchronous_replicas":0}],"idle_transaction_limit_ms":7,
          "organisations":[{"name":"o","rate":2.5,"burst":3,
          "keys":["2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae"]}]})"}},
      {"DirectoryMessage",
       ParseOnly<proxy::ParseDirectoryMessage>,
       {R"({"base":2,"revision":3,"removed":["f"],"digest":"1","endpoints":[{"name":"e","group":"g","address":"127.0.0.1:1","data_centre":"d",
          "draining":false,"claims_primary":true,"slots":5,"born":0}]})"}},
      {"RelayNotice", RoundTripRelayNotice, {"\x02 17 127.0.0.1:7000\n"}},
      {"StatusRow", ParseStatusRow, {"replica 3 3.1209 0 12 2 17"}},
      {"StoreObject", ParseStoreObject, {R"({"meta":{"name":"a","revision":4},"spec":{"x":1},"status":null})"}},
      {"PlatformEntry",
       ParsePlatformEntry,
       {R"({"service":"s","address":"127.0.0.1:1","zone":"z","slots":5,"state":"ready","db_role":"replica","born":7})"}},
      {"PlatformConfiguration",
       ParsePlatformConfiguration,
       {R"({"version":7,"routes":[{"name":"r","host":"db","route_type":"read_your_writes","timeout_ms":1000,
          "target_latency_ms":400,"priority":1,"service":"s","max_staleness_ms":2500}],
          "services":[{"name":"s","max_conns":34,"sync_replicas":0}],"limits":{"tx_idle_ms":3000},
          "tenants":[{"name":"t","api_keys":["k"],"rate_per_s":100,"burst":50}]})"}},
      {"Address", RoundTripAddress, {"127.0.0.1:7000"}},
      {"Traceparent", RoundTripTraceparent, {"00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"}},
  };
}

}  // namespace amaranthlane::fuzz
