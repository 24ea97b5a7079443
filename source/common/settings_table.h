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

// The member of Settings that a setting fills; its type is the setting's type.
using SettingMember = std::variant<std::string Settings::*, std::vector<std::string> Settings::*,
                                   std::uint64_t Settings::*, std::chrono::milliseconds Settings::*>;

// What a text setting, or each element of a list, must look like.
struct TextRule {
  bool (*accepts)(std::string_view text);
  const char* expected;
};

// The one declaration of a setting. Its default is the initial value of its member.
struct SettingDeclaration {
  // The path in the settings file, with dots between the levels.
  std::string_view key;
  SettingMember member;
  // For text and lists.
  const TextRule* rule = nullptr;
  // For numbers and times, both inclusive.
  std::uint64_t minimum = 0;
  std::uint64_t maximum = 0;
  bool required = false;
  std::string_view help;
};

std::span<const SettingDeclaration> SettingDeclarations();

// The declaration with this key, or null.
const SettingDeclaration* FindSetting(std::string_view key);

// True when some setting's key begins with `section` and a dot.
bool IsSettingSection(std::string_view section);

bool IsListSetting(const SettingDeclaration& declaration);

// What a value of this setting must be, for errors and the reference.
std::string DescribeExpectedValue(const SettingDeclaration& declaration);

// Sets the member from one scalar text; lists are appended to. Returns false when the text isn't as expected.
bool AssignSetting(const SettingDeclaration& declaration, std::string_view text, Settings& settings);

// Empties a list setting. Does nothing to other settings.
void ClearListSetting(const SettingDeclaration& declaration, Settings& settings);

// The member's value as text.
std::string FormatSettingValue(const SettingDeclaration& declaration, const Settings& settings);

}  // namespace amaranthlane

#endif  // AMARANTHLANE_COMMON_SETTINGS_TABLE_H_
