#ifndef AMARANTHLANE_COMMON_SETTINGS_TABLE_H_
#define AMARANTHLANE_COMMON_SETTINGS_TABLE_H_

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "common/settings.h"

namespace amaranthlane {

// The member of Settings that holds a setting's value; the member's type is the setting's type.
using SettingMember =
    std::variant<std::string Settings::*, std::vector<std::string> Settings::*, std::uint64_t Settings::*,
                 std::chrono::milliseconds Settings::*, Millicores Settings::*>;

// The format of a text setting, or of each element of a list.
struct TextRule {
  bool (*accepts)(std::string_view text);
  const char* expected;
};

// The declaration of a setting. Its default is the initial value of its member.
struct SettingDeclaration {
  // The path in the settings file, with levels separated by dots.
  std::string_view key;
  SettingMember member;
  // Only for text and lists.
  const TextRule* rule = nullptr;
  // Only for numbers, durations (in milliseconds) and shares of processors (in millicores); both inclusive.
  std::uint64_t minimum = 0;
  std::uint64_t maximum = 0;
  bool required = false;
  std::string_view help;
};

std::span<const SettingDeclaration> SettingDeclarations();

// The declaration of the setting `key`, or null if there is none.
const SettingDeclaration* FindSetting(std::string_view key);

// True if a setting's key starts with `section` and a dot.
bool IsSettingSection(std::string_view section);

bool IsListSetting(const SettingDeclaration& declaration);

// Describes the valid values of a setting, for error messages and the reference documentation.
std::string DescribeExpectedValue(const SettingDeclaration& declaration);

// Parses `text` and sets the member, or appends one element to a list. Returns false if `text` is invalid.
bool AssignSetting(const SettingDeclaration& declaration, std::string_view text, Settings& settings);

// Clears a list setting. Has no effect on other settings.
void ClearListSetting(const SettingDeclaration& declaration, Settings& settings);

// The member's value as text; list elements are separated by commas.
std::string FormatSettingValue(const SettingDeclaration& declaration, const Settings& settings);

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_SETTINGS_TABLE_H_
