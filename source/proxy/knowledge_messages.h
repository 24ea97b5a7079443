#ifndef AMARANTHLANE_PROXY_KNOWLEDGE_MESSAGES_H_
#define AMARANTHLANE_PROXY_KNOWLEDGE_MESSAGES_H_

#include <nlohmann/json.hpp>

#include "core/failover/endpoint_status.h"
#include "proxy/configuration.h"

// The configuration and the directory of endpoints as VMs pass them to each other, so that one that the store turns
// away keeps up. The parse functions throw ParseError.
namespace amaranthlane::proxy {

// A directory as the store had it at a revision.
struct KnownDirectory {
  ObjectVersion revision = 0;
  failover::EndpointDirectory endpoints;
};

nlohmann::json ToJson(const Configuration& configuration);
Configuration ParseConfigurationMessage(const nlohmann::json& document);

nlohmann::json ToJson(const KnownDirectory& directory);
KnownDirectory ParseDirectoryMessage(const nlohmann::json& document);

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_PROXY_KNOWLEDGE_MESSAGES_H_
