#ifndef AMARANTHLANE_STAND_INS_ENDPOINT_LOG_MESSAGE_H_
#define AMARANTHLANE_STAND_INS_ENDPOINT_LOG_MESSAGE_H_

#include <string>
#include <vector>

#include "stand_ins/endpoint/log.h"

namespace amaranthlane::stand_ins {

// The answer of a primary to a replica's pull.
struct LogResponse {
  std::uint64_t term = 0;
  std::vector<LogEntry> entries;
};

// The JSON text of an entry as it goes to replicas.
std::string FormatLogEntry(const LogEntry& entry);

// Throws ParseError.
LogResponse ParseLogResponse(const std::string& body);

}  // namespace amaranthlane::stand_ins

#endif  // AMARANTHLANE_STAND_INS_ENDPOINT_LOG_MESSAGE_H_
