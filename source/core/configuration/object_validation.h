#ifndef AMARANTHLANE_CORE_CONFIGURATION_OBJECT_VALIDATION_H_
#define AMARANTHLANE_CORE_CONFIGURATION_OBJECT_VALIDATION_H_

#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace amaranthlane::configuration {

// Checks a value by the parse function of its kind, and the object's name. Throws ParseError, also for a kind that
// operators may not edit.
void ValidateObject(std::string_view kind, std::string_view name, const nlohmann::json& value);

// Checks that an operator may change `current` to `value`: the term and the primary of a database group change only by
// a promotion. Throws ParseError.
void ValidateChange(std::string_view kind, const nlohmann::json& current, const nlohmann::json& value);

// True for the kinds that operators may edit.
bool IsEditableKind(std::string_view kind);

}  // namespace amaranthlane::configuration

#endif  // AMARANTHLANE_CORE_CONFIGURATION_OBJECT_VALIDATION_H_
