#include "logging/log.h"

#include <easylogging++.h>

#include <array>
#include <nlohmann/json.hpp>

INITIALIZE_EASYLOGGINGPP

namespace amaranthlane::logging {

namespace {

constexpr std::array<std::string_view, 4> kLevelNames = {"debug", "info", "warning", "error"};

Level minimum_level = Level::kInfo;
std::string vm_name;

std::string Quote(std::string_view text) {
  return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

void Start(std::string_view vm, std::string_view level) {
  vm_name = vm;
  for (std::size_t index = 0; index < kLevelNames.size(); ++index) {
    if (kLevelNames[index] == level) {
      minimum_level = static_cast<Level>(index);
    }
  }
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  configuration.setGlobally(el::ConfigurationType::Format, R"({"time":"%datetime{%Y-%M-%dT%H:%m:%s.%g}",%msg})");
  el::Loggers::reconfigureAllLoggers(configuration);
}

void Write(Level level, std::string_view event, std::initializer_list<Field> fields) {
  if (level < minimum_level) {
    return;
  }
  std::string line = "\"level\":\"" + std::string(kLevelNames[static_cast<std::size_t>(level)]) +
                     "\",\"vm\":" + Quote(vm_name) + ",\"event\":" + Quote(event);
  for (const Field& field : fields) {
    line += "," + Quote(field.name) + ":" + (field.quoted ? Quote(field.text) : field.text);
  }
  switch (level) {
    case Level::kDebug:
    case Level::kInfo:
      LOG(INFO) << line;
      return;
    case Level::kWarning:
      LOG(WARNING) << line;
      return;
    case Level::kError:
      LOG(ERROR) << line;
      return;
  }
}

}  // namespace amaranthlane::logging
