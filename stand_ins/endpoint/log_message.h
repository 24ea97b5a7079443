#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_LOG_MESSAGE_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_LOG_MESSAGE_H_

#include <string>
#include <vector>

#include "stand_ins/endpoint/log.h"

namespace amaranthlane::stand_ins {

// A primary's response to a replica that pulls log entries.
struct LogResponse {
  std::uint64_t term = 0;
  std::vector<LogEntry> entries;
};

// Formats an entry as JSON, as it is sent to replicas.
std::string FormatLogEntry(const LogEntry& entry);

// Throws ParseError.
LogResponse ParseLogResponse(const std::string& body);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_LOG_MESSAGE_H_
