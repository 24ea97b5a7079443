#include "common/settings.h"

#include <yaml-cpp/yaml.h>

#include <fstream>
#include <iterator>
#include <map>
#include <utility>

#include "common/settings_table.h"

namespace amaranthlane {

namespace {

constexpr const char* kCommandLine = "command line";

std::string FormatSettingsError(const std::string& source, std::size_t line, const std::string& key,
                                const std::string& expected) {
  const std::string place = line == 0 ? source : source + ":" + std::to_string(line);
  return place + ": '" + key + "': expected " + expected;
}

std::size_t LineNumber(const YAML::Mark& mark) { return mark.is_null() ? 0 : static_cast<std::size_t>(mark.line) + 1; }

// Builds a Settings from a settings file and its overrides.
class SettingsReader {
 public:
  explicit SettingsReader(const std::string& source) : source(source) {}

  void ReadFile(std::string_view text) {
    try {
      const YAML::Node root = YAML::Load(std::string(text));
      if (!root.IsNull()) {
        this->ReadSection(root, "");
      }
    } catch (const YAML::Exception& error) {
      throw SettingsError(this->source, LineNumber(error.mark), "", "a valid YAML document (" + error.msg + ")");
    }
  }

  void ReadOverride(const SettingOverride& override) {
    const SettingDeclaration* declaration = FindSetting(override.key);
    if (declaration == nullptr) {
      throw SettingsError(kCommandLine, 0, override.key, "a known setting's key");
    }
    this->lines[override.key] = 0;
    ClearListSetting(*declaration, this->settings);
    for (const std::string& element : SplitListValue(*declaration, override.value)) {
      if (!AssignSetting(*declaration, element, this->settings)) {
        throw SettingsError(kCommandLine, 0, override.key, DescribeExpectedValue(*declaration));
      }
    }
  }

  Settings Finish() {
    for (const SettingDeclaration& declaration : SettingDeclarations()) {
      if (declaration.required && FormatSettingValue(declaration, this->settings).empty()) {
        this->Fail(std::string(declaration.key), DescribeExpectedValue(declaration));
      }
    }
    this->ValidateCombination();
    return std::move(this->settings);
  }

 private:
  static std::vector<std::string> SplitListValue(const SettingDeclaration& declaration, const std::string& value) {
    if (!IsListSetting(declaration)) {
      return {value};
    }
    std::vector<std::string> elements;
    std::size_t start = 0;
    while (start < value.size()) {
      const std::size_t comma = std::min(value.find(',', start), value.size());
      elements.push_back(value.substr(start, comma - start));
      start = comma + 1;
    }
    return elements;
  }

  void ReadSection(const YAML::Node& section, const std::string& path) {
    if (!section.IsMap()) {
      throw SettingsError(this->source, LineNumber(section.Mark()), path, "a mapping of settings");
    }
    for (const auto& entry : section) {
      const std::size_t line = LineNumber(entry.first.Mark());
      if (!entry.first.IsScalar()) {
        throw SettingsError(this->source, line, path, "a known setting's key");
      }
      const std::string key = (path.empty() ? "" : path + ".") + entry.first.Scalar();
      if (!this->lines.emplace(key, line).second) {
        throw SettingsError(this->source, line, key, "a key that occurs only once");
      }
      this->ReadEntry(entry.second, key, line);
    }
  }

  void ReadEntry(const YAML::Node& value, const std::string& key, std::size_t line) {
    if (const SettingDeclaration* declaration = FindSetting(key)) {
      this->ReadValue(value, *declaration, line);
    } else if (IsSettingSection(key)) {
      this->ReadSection(value, key);
    } else {
      throw SettingsError(this->source, line, key, "a known setting's key");
    }
  }

  void ReadValue(const YAML::Node& value, const SettingDeclaration& declaration, std::size_t line) {
    ClearListSetting(declaration, this->settings);
    bool valid = IsListSetting(declaration) ? value.IsSequence() : value.IsScalar();
    if (valid && value.IsScalar()) {
      valid = AssignSetting(declaration, value.Scalar(), this->settings);
    } else if (valid) {
      for (const YAML::Node& element : value) {
        valid = valid && element.IsScalar() && AssignSetting(declaration, element.Scalar(), this->settings);
      }
    }
    if (!valid) {
      throw SettingsError(this->source, line, std::string(declaration.key), DescribeExpectedValue(declaration));
    }
  }

  // Rejects settings that are each in range but inconsistent with one another.
  void ValidateCombination() const {
    const Settings& s = this->settings;
    if (s.leadership_clock_drift_margin >= s.leadership_grant_duration) {
      this->Fail("leadership.margin_ms", "less than leadership.promise_ms");
    }
    if (s.leadership_renewal_interval >= s.leadership_grant_duration - s.leadership_clock_drift_margin) {
      this->Fail("leadership.beat_ms", "less than leadership.promise_ms minus leadership.margin_ms");
    }
    if (s.leadership_detection_timeout <= s.leadership_renewal_interval) {
      this->Fail("leadership.detection_ms", "more than leadership.beat_ms");
    }
    if (s.callers_address == s.peers_address || s.callers_address == s.operators_address) {
      this->Fail("addresses.callers", "an address that no other interface uses");
    }
    if (s.peers_address == s.operators_address) {
      this->Fail("addresses.peers", "an address that no other interface uses");
    }
  }

  [[noreturn]] void Fail(const std::string& key, const std::string& expected) const {
    const auto found = this->lines.find(key);
    throw SettingsError(this->source, found == this->lines.end() ? 0 : found->second, key, expected);
  }

  const std::string& source;
  Settings settings;
  // The line number of each key that was given; 0 for the command line.
  std::map<std::string, std::size_t> lines;
};

}  // namespace

SettingsError::SettingsError(std::string source, std::size_t line, std::string key, std::string expected)
    : Error(FormatSettingsError(source, line, key, expected)),
      source(std::move(source)),
      line(line),
      key(std::move(key)),
      expected(std::move(expected)) {}

Settings ParseSettings(std::string_view text, const std::string& source,
                       const std::vector<SettingOverride>& overrides) {
  SettingsReader reader(source);
  reader.ReadFile(text);
  for (const SettingOverride& override : overrides) {
    reader.ReadOverride(override);
  }
  return reader.Finish();
}

Settings LoadSettings(const std::string& path, const std::vector<SettingOverride>& overrides) {
  std::ifstream file(path);
  const std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
  if (!file.is_open() || file.bad()) {
    throw SettingsError(path, 0, "", "a readable file");
  }
  return ParseSettings(text, path, overrides);
}

SettingOverride ParseSettingOverride(std::string_view argument) {
  const std::size_t equals = argument.find('=');
  if (equals == std::string_view::npos || equals == 0) {
    throw SettingsError(kCommandLine, 0, std::string(argument), "key=value");
  }
  return {std::string(argument.substr(0, equals)), std::string(argument.substr(equals + 1))};
}

std::string SettingsReference() {
  std::string page =
      "# Settings\n\nGenerated from the table of settings. Each can be set in the settings file (YAML; a dot in a key "
      "is a level of\nnesting) or on the command line as `--set key=value`, which overrides the file. List elements on "
      "the command line are\nseparated by commas.\n\n| key | value | default | meaning |\n|---|---|---|---|\n";
  const Settings defaults;
  for (const SettingDeclaration& declaration : SettingDeclarations()) {
    const std::string text = FormatSettingValue(declaration, defaults);
    const std::string default_text = declaration.required ? "required" : (text.empty() ? "none" : "`" + text + "`");
    page += "| `" + std::string(declaration.key) + "` | " + DescribeExpectedValue(declaration) + " | " + default_text +
            " | " + std::string(declaration.help) + " |\n";
  }
  return page;
}

}  // namespace amaranthlane
