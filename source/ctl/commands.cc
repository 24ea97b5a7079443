#include "ctl/commands.h"

#include <array>
#include <charconv>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "common/boot_clock.h"
#include "common/json.h"
#include "ctl/table.h"
#include "net/http_message.h"

namespace amaranthlane::ctl {

namespace {

using Json = nlohmann::json;
using Arguments = std::vector<std::string>;
using Handler = ExitCode (*)(const OperatorClient&, const CommandOptions&, const Arguments&);

constexpr std::chrono::milliseconds kPollInterval{100};
constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusConflict = 409;
constexpr unsigned kStatusUnavailable = 503;

std::string CellText(const Json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

std::string ObjectTarget(const std::string& kind, const std::string& name) {
  return "/v1/objects/" + net::EncodePathSegment(kind) + "/" + net::EncodePathSegment(name);
}

ExitCode PrintResponse(const OperatorResponse& response) {
  std::cout << response.body.dump(2) << '\n';
  if (response.status == kStatusOk) {
    return ExitCode::kDone;
  }
  if (response.status == kStatusConflict) {
    return ExitCode::kConflict;
  }
  const bool unknown = response.status == kStatusUnavailable && response.body.value("effect", "") == "unknown";
  return unknown || response.status > kStatusUnavailable ? ExitCode::kUnknown : ExitCode::kRefused;
}

Table MakeTable(const Json& rows, const std::vector<std::string>& columns) {
  Table table;
  table.columns = columns;
  for (const Json& row : rows) {
    std::vector<std::string> cells;
    for (const std::string& column : columns) {
      cells.push_back(row.contains(column) ? CellText(row[column]) : "");
    }
    table.rows.push_back(std::move(cells));
  }
  return table;
}

// Reads an edit file: one object {kind, name, value, expected_version?}, or an array of them.
Json ReadEdits(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    throw UsageError(path + ": cannot be opened for reading");
  }
  std::ostringstream text;
  text << file.rdbuf();
  Json document = json::Parse(text.str(), path);
  return document.is_array() ? document : Json::array({document});
}

ExitCode Apply(const OperatorClient& client, const CommandOptions& /*options*/, const Arguments& args) {
  for (const Json& edit : ReadEdits(args[1])) {
    const json::ObjectReader reader(edit, args[1]);
    reader.RejectUnknown({"kind", "name", "value", "expected_version"});
    Json body{{"value", reader.Object("value")}};
    if (reader.Has("expected_version")) {
      body["expected_version"] = reader.Unsigned("expected_version");
    }
    const ExitCode code =
        PrintResponse(client.Call("PUT", ObjectTarget(reader.String("kind"), reader.String("name")), body));
    if (code != ExitCode::kDone) {
      return code;
    }
  }
  return ExitCode::kDone;
}

ExitCode Get(const OperatorClient& client, const CommandOptions& options, const Arguments& args) {
  if (args.size() == 3) {
    return PrintResponse(client.Call("GET", ObjectTarget(args[1], args[2]), nullptr));
  }
  const OperatorResponse response = client.Call("GET", "/v1/objects/" + net::EncodePathSegment(args[1]), nullptr);
  if (options.json || response.status != kStatusOk) {
    return PrintResponse(response);
  }
  std::cout << FormatTable(MakeTable(response.body.at("objects"), {"name", "version", "value"}));
  return ExitCode::kDone;
}

ExitCode Delete(const OperatorClient& client, const CommandOptions& /*options*/, const Arguments& args) {
  std::string target = ObjectTarget(args[1], args[2]);
  if (args.size() == 4) {
    target += "?expected_version=" + net::EncodePathSegment(args[3]);
  }
  return PrintResponse(client.Call("DELETE", target, nullptr));
}

void PrintStatus(const Json& status) {
  std::cout << "vm " << CellText(status.at("vm")) << " in " << CellText(status.at("data_centre"))
            << (status.at("draining").get<bool>() ? ", draining" : "") << "; platform "
            << (status.at("platform_reachable").get<bool>() ? "answers" : "does not answer") << "\n\n";
  std::cout << FormatTable(MakeTable(status.at("leaders"), {"group", "leader"})) << '\n';
  std::cout << FormatTable(MakeTable(status.at("vms"), {"vm", "data_centre", "address", "liveness", "leaving"}))
            << '\n';
  std::cout << FormatTable(MakeTable(status.at("in_force"), {"vm", "data_centre", "complete_through"})) << '\n';
  for (const Json& group : status.at("led_groups")) {
    std::cout << "group " << CellText(group.at("group")) << ": term " << CellText(group.at("term")) << ", primary "
              << CellText(group.at("primary")) << ", " << CellText(group.at("phase")) << '\n';
    std::cout << FormatTable(MakeTable(group.at("instances"),
                                       {"endpoint", "role", "term", "offset", "age_bound_ms", "leaving"}))
              << '\n';
  }
}

ExitCode Status(const OperatorClient& client, const CommandOptions& options, const Arguments& /*args*/) {
  const OperatorResponse response = client.Call("GET", "/v1/status", nullptr);
  if (options.json || response.status != kStatusOk) {
    return PrintResponse(response);
  }
  PrintStatus(response.body);
  return ExitCode::kDone;
}

ExitCode Drain(const OperatorClient& client, const CommandOptions& /*options*/, const Arguments& /*args*/) {
  return PrintResponse(client.Call("POST", "/v1/drain", nullptr));
}

ExitCode Promote(const OperatorClient& client, const CommandOptions& /*options*/, const Arguments& args) {
  Json body = Json::object();
  if (args.size() == 3) {
    body["target"] = args[2];
  }
  return PrintResponse(client.Call("POST", "/v1/groups/" + net::EncodePathSegment(args[1]) + "/promote", body));
}

ExitCode WaitInForce(const OperatorClient& client, const CommandOptions& options, const Arguments& args) {
  std::uint64_t version = 0;
  const auto [end, error] = std::from_chars(args[1].data(), args[1].data() + args[1].size(), version);
  if (error != std::errc() || end != args[1].data() + args[1].size()) {
    throw UsageError("wait-in-force: expected VERSION as a non-negative whole number");
  }
  const TimePoint deadline = BootClock::now() + options.timeout;
  Json lagging_vms;
  while (BootClock::now() < deadline) {
    lagging_vms = Json::array();
    const OperatorResponse response = client.Call("GET", "/v1/status", nullptr);
    for (const Json& entry : response.body.at("in_force")) {
      if (entry.at("complete_through").get<std::uint64_t>() < version) {
        lagging_vms.push_back(entry);
      }
    }
    if (lagging_vms.empty()) {
      std::cout << Json{{"version", version}, {"in_force", "everywhere"}}.dump() << '\n';
      return ExitCode::kDone;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  std::cout << Json{{"version", version}, {"behind", lagging_vms}}.dump(2) << '\n';
  return ExitCode::kTimeout;
}

ExitCode Trace(const OperatorClient& client, const CommandOptions& options, const Arguments& args) {
  const OperatorResponse response =
      client.Call("GET", "/v1/traces?trace_id=" + net::EncodePathSegment(args[1]), nullptr);
  if (options.json || response.status != kStatusOk) {
    return PrintResponse(response);
  }
  std::cout << FormatTable(MakeTable(response.body.at("spans"),
                                     {"operation", "span_id", "parent_span_id", "start_us", "elapsed_us", "tags"}));
  return ExitCode::kDone;
}

struct Command {
  const char* name;
  const char* arguments;
  const char* help;
  // Both counts include the command's name.
  std::size_t min_args;
  std::size_t max_args;
  Handler handler;
};

constexpr std::array<Command, 8> kCommands = {{
    {"apply", "FILE",
     "writes the objects in a JSON file; with expected_version, only if the object still has that version", 2, 2,
     &Apply},
    {"get", "KIND [NAME]", "shows one object, or all objects of a kind", 2, 3, &Get},
    {"delete", "KIND NAME [VERSION]", "deletes an object; with VERSION, only if the object still has that version", 3,
     4, &Delete},
    {"status", "",
     "shows leaders, VMs, the configuration version that each VM has applied, and the groups that the VM leads", 1, 1,
     &Status},
    {"drain", "", "shuts the VM down gracefully", 1, 1, &Drain},
    {"promote", "GROUP [ENDPOINT]",
     "moves a group's primary to ENDPOINT, or to an endpoint that the group's leader chooses", 2, 3, &Promote},
    {"wait-in-force", "VERSION", "waits until every VM has applied the configuration version", 2, 2, &WaitInForce},
    {"trace", "TRACE_ID", "shows the spans of a trace that the VM has recorded", 2, 2, &Trace},
}};

}  // namespace

ExitCode RunCommand(const OperatorClient& client, const CommandOptions& options, const Arguments& args) {
  if (args.empty()) {
    throw UsageError("no command given; see --help");
  }
  for (const Command& command : kCommands) {
    if (args[0] != command.name) {
      continue;
    }
    if (args.size() < command.min_args || args.size() > command.max_args) {
      throw UsageError(std::string("usage: ") + command.name + " " + command.arguments);
    }
    return command.handler(client, options, args);
  }
  throw UsageError("unknown command '" + args[0] + "'; see --help");
}

std::string CommandSummary() {
  Table table;
  table.columns = {"command", "does"};
  for (const Command& command : kCommands) {
    table.rows.push_back({std::string(command.name) + " " + command.arguments, command.help});
  }
  return FormatTable(table);
}

}  // namespace amaranthlane::ctl
