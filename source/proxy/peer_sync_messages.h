#ifndef AMARANTHLANE_PROXY_PEER_SYNC_MESSAGES_H_
#define AMARANTHLANE_PROXY_PEER_SYNC_MESSAGES_H_

#include <nlohmann/json.hpp>

#include "proxy/configuration.h"
#include "proxy/directory_change_log.h"

// The messages in which VMs copy the configuration and the directory of endpoints from each other, so that a VM that
// can't read the store stays up to date. The parse functions throw ParseError.
namespace amaranthlane::proxy {

nlohmann::json ToJson(const Configuration& configuration);
Configuration ParseConfigurationMessage(const nlohmann::json& document);

nlohmann::json ToJson(const DirectoryUpdate& update);
DirectoryUpdate ParseDirectoryMessage(const nlohmann::json& document);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_PEER_SYNC_MESSAGES_H_
