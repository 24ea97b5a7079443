#include "proxy/session_context.h"

namespace amaranthlane::proxy {

void SessionContext::ReportRejectedMessage(const std::string& database, statements::FailureCode code,
                                           const std::string& reason) {
  StatementReport report;
  report.database = database;
  report.kind = "message";
  report.outcome = statements::FailureCodeName(code);
  report.reason = reason;
  report.failed = true;
  const Configuration* configuration = this->CurrentConfiguration();
  report.configuration_version = configuration == nullptr ? 0 : configuration->version;
  report.record_version = this->RecordVersion();
  this->OnStatementFinished(report);
}

}  // namespace amaranthlane::proxy
