#ifndef AMARANTHLANE_CORE_ACCESS_ORGANISATION_NAME_H_
#define AMARANTHLANE_CORE_ACCESS_ORGANISATION_NAME_H_

#include <string>

namespace amaranthlane {

// The name of a customer's organisation, unique in the configuration. Empty where there is none.
using OrganisationName = std::string;

}  // namespace amaranthlane

#endif  // AMARANTHLANE_CORE_ACCESS_ORGANISATION_NAME_H_
