#ifndef AMARANTHLANE_CORE_CONFIGURATION_OBJECT_VALIDATION_H_
#define AMARANTHLANE_CORE_CONFIGURATION_OBJECT_VALIDATION_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace amaranthlane::configuration {

// Checks the object's name, and its value with the parse function of its kind. Throws ParseError, also for a kind that
// operators may not edit.
void ValidateObject(std::string_view kind, std::string_view name, const nlohmann::json& value);

// Checks that an operator may change `current` to `value`: only a promotion may change the term and the primary of a
// database group. Throws ParseError.
void ValidateChange(std::string_view kind, const nlohmann::json& current, const nlohmann::json& value);

// True for the kinds that operators may edit.
bool IsEditableKind(std::string_view kind);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_OBJECT_VALIDATION_H_
