#ifndef AMARANTHLANE_DAEMON_GROUP_CONTEXT_H_
#define AMARANTHLANE_DAEMON_GROUP_CONTEXT_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>

#include "common/settings.h"
#include "core/configuration/platform_object.h"
#include "daemon/control_traffic.h"
#include "daemon/endpoint_connection_pool.h"
#include "daemon/platform_client.h"
#include "metrics/registry.h"
#include "tracing/ring_tracer.h"

namespace amaranthlane::daemon {

// What the groups led by one daemon share. All referenced objects outlive the groups.
struct GroupContext {
  boost::asio::io_context& loop;
  const Settings& settings;
  PlatformClient& platform;
  metrics::Registry& metrics;
  ControlTraffic& traffic;
  std::shared_ptr<tracing::RingTracer> tracer;
  std::mt19937_64& generator;
  ConnectionIdGenerator& connection_ids;
  // Called with each object that a group has read from or written to the platform.
  std::function<void(configuration::PlatformObject)> object_received;
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_GROUP_CONTEXT_H_
