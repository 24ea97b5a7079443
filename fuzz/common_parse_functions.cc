#include "common/ip_address.h"
#include "common/json.h"
#include "common/list_reader.h"
#include "common/settings.h"
#include "common/sha256.h"
#include "parse_functions.h"

namespace amaranthlane::fuzz {

namespace {

constexpr const char* kSettings =
    "vm: dub-a-1\ndata_centre: dub-a\nregion: eu-west-dub\naddresses:\n  callers: 127.0.0.1:7401\n"
    "  platform: \"127.0.0.1:7000\"\nseeds: [127.0.0.1:7501, '[::1]:7502']\nlimits: {body_bytes: 65536}\n"
    "leadership:\n  beat_ms: 500\n  promise_ms: 3000\nlog:\n  level: info\n";

void ParseSettingsFile(std::string_view text) { ParseSettings(text, "vm.yaml"); }

// Parses the text as a `key=value` override from the command line and applies it to the settings.
void ParseOverrides(std::string_view text) {
  const SettingOverride override = ParseSettingOverride(text);
  ParseSettings(kSettings, "vm.yaml", {override});
}

// Reads the text as a list of entries, in two parts.
void ReadList(std::string_view text) {
  const json::Selection entry = json::Members({{"name", {}}, {"spec", json::Whole()}});
  json::ListReader reader(json::Members({{"items", json::Elements(entry)}}), "fuzz",
                          [](std::string_view /*list*/, const nlohmann::json& element) { element.size(); });
  reader.Append(text.substr(0, text.size() / 2));
  reader.Append(text.substr(text.size() / 2));
  reader.Finish();
}

}  // namespace

std::vector<ParseFunction> CommonParseFunctions() {
  return {
      {"Json",
       [](std::string_view text) { json::Parse(text, "fuzz"); },
       {R"({"a":[1,-2,3.5e7,"é\u00e9",null,true,{}]})"}},
      {"List", ReadList, {R"({"items":[{"name":"a","status":[{}],"spec":{"b":[1,"\"",null]}},7],"has_more":true})"}},
      {"Settings", ParseSettingsFile, {kSettings}},
      {"SettingOverride", ParseOverrides, {"leadership.beat_ms=100", "seeds=127.0.0.1:1,[::1]:2", "log.level=debug"}},
      {"IpAndPort", [](std::string_view text) { IsIpAndPort(text); }, {"127.0.0.1:7000", "[::1]:65535"}},
      {"Sha256Hash",
       [](std::string_view text) { ParseSha256(text); },
       {"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad"}},
  };
}

}  // namespace amaranthlane::fuzz
