#ifndef AMARANTHLANE_PROXY_PEER_SYNC_MESSAGES_H_
#define AMARANTHLANE_PROXY_PEER_SYNC_MESSAGES_H_

#include <nlohmann/json.hpp>

#include "proxy/configuration.h"
#include "proxy/directory_change_log.h"

// The messages in which VMs copy the configuration and the directory of endpoints from each other, so that a VM that
// can't read the store stays up to date. The parse functions throw ParseError.
namespace amaranthlane::proxy {

// API keys are sent as digests.
nlohmann::json ToJson(const Configuration& configuration);
Configuration ParseConfigurationMessage(const nlohmann::json& document);
// False for a message of an earlier build, which drops the organisations of the operators' configuration.
bool HasOrganisations(const nlohmann::json& document);

nlohmann::json ToJson(const DirectoryUpdate& update);
DirectoryUpdate ParseDirectoryMessage(const nlohmann::json& document);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_PEER_SYNC_MESSAGES_H_
