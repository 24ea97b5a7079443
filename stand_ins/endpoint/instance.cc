#include "stand_ins/endpoint/instance.h"

#include <algorithm>
#include <utility>

#include "common/error.h"
#include "stand_ins/endpoint/problems.h"

namespace amaranthlane::stand_ins {

Instance::Instance(std::string name) : name(std::move(name)) {}

bool Instance::Configure(const ConfigureRequest& request) {
  if (request.term < this->term) {
    throw StaleTermError(request.term, this->term);
  }
  if (request.term == this->term && request.primary != this->primary) {
    throw TermConflictError(this->term, this->primary);
  }
  const auto found =
      std::find_if(request.instances.begin(), request.instances.end(),
                   [&](const InstanceAddress& instance) { return instance.endpoint == request.primary; });
  if (found == request.instances.end()) {
    throw ParseError("configure request", "instances", "the primary among them");
  }
  const bool changed = request.term != this->term || found->address != this->primary_address;
  this->term = request.term;
  this->primary = request.primary;
  this->primary_address = found->address;
  if (this->IsPrimary()) {
    this->synced_term = this->term;
  }
  return changed;
}

void Instance::CheckTerm(std::uint64_t term) const {
  if (term < this->term) {
    throw StaleTermError(term, this->term);
  }
  if (term > this->term || this->term == 0) {
    throw UnconfiguredTermError(term, this->term);
  }
}

void Instance::CheckPrimary() const {
  if (!this->IsPrimary()) {
    throw NotPrimaryError(this->name);
  }
}

Completion Instance::RunAutocommit(const StatementRequest& request) {
  this->CheckTerm(request.term);
  if (request.write_mode) {
    this->CheckPrimary();
  }
  Transaction transaction(this->term);
  if (!request.statement.IsWrite()) {
    return {transaction.Run(request.statement, this->log.GetRows()), this->log.LastPosition(), false};
  }
  if (const std::optional<Completion> stored =
          this->FindStoredCompletion(request.idempotency_key, request.statement.canonical_text)) {
    return *stored;
  }
  std::string result = transaction.Run(request.statement, this->log.GetRows());
  return this->Append(transaction, request.idempotency_key, request.statement.canonical_text, std::move(result));
}

Completion Instance::RunInTransaction(const StatementRequest& request, std::optional<Transaction>& transaction) {
  this->CheckTerm(request.term);
  if (request.write_mode) {
    this->CheckPrimary();
  }
  if (!transaction) {
    transaction.emplace(this->term);
  }
  if (transaction->term != this->term) {
    throw StaleTermError(transaction->term, this->term);
  }
  return {transaction->Run(request.statement, this->log.GetRows()), this->log.LastPosition(), false};
}

Completion Instance::Commit(const TransactionEndRequest& request, std::optional<Transaction>& transaction) {
  this->CheckTerm(request.term);
  const std::optional<Transaction> ended = std::exchange(transaction, std::nullopt);
  if (!ended) {
    throw NoTransactionError();
  }
  if (ended->term != this->term) {
    throw StaleTermError(ended->term, this->term);
  }
  if (!ended->HasWrites()) {
    return {"null", this->log.LastPosition(), false};
  }
  this->CheckPrimary();
  std::string text = ended->CanonicalText();
  if (const std::optional<Completion> stored = this->FindStoredCompletion(request.idempotency_key, text)) {
    return *stored;
  }
  return this->Append(*ended, request.idempotency_key, std::move(text), "null");
}

KeyOutcome Instance::FindOutcome(const std::string& idempotency_key, std::uint64_t term) const {
  this->CheckTerm(term);
  this->CheckPrimary();
  const std::optional<std::uint64_t> offset = this->log.OffsetOfKey(idempotency_key);
  if (!offset) {
    return {};
  }
  const LogEntry& entry = this->log.EntryAt(*offset);
  return {true, entry.result, {entry.term, *offset}};
}

void Instance::TruncateLog(std::uint64_t offset) { this->log.TruncateTo(offset); }

void Instance::ApplyReplicatedEntry(LogEntry entry) { this->log.Append(std::move(entry)); }

void Instance::MarkSynced() { this->synced_term = this->term; }

bool Instance::IsPrimary() const { return this->term > 0 && this->primary == this->name; }

const Log& Instance::GetLog() const { return this->log; }

const std::string& Instance::PrimaryAddress() const { return this->primary_address; }

std::uint64_t Instance::Term() const { return this->term; }

std::string Instance::FormatPositionResponse() const {
  std::string text = R"({"endpoint":)";
  AppendJsonString(text, this->name);
  text += this->IsPrimary() ? R"(,"role":"primary")" : R"(,"role":"replica")";
  text += R"(,"term":)" + std::to_string(this->term);
  text += R"(,"position":)" + FormatPosition(this->log.LastPosition());
  return text + R"(,"synced_term":)" + std::to_string(this->synced_term) + "}";
}

std::optional<Completion> Instance::FindStoredCompletion(const std::string& idempotency_key,
                                                         const std::string& statement) const {
  if (idempotency_key.empty()) {
    return std::nullopt;
  }
  const std::optional<std::uint64_t> offset = this->log.OffsetOfKey(idempotency_key);
  if (!offset) {
    return std::nullopt;
  }
  const LogEntry& entry = this->log.EntryAt(*offset);
  if (entry.statement != statement) {
    throw KeyConflictError(idempotency_key);
  }
  return Completion{entry.result, {entry.term, *offset}, true};
}

Completion Instance::Append(const Transaction& transaction, const std::string& idempotency_key, std::string statement,
                            std::string result) {
  LogEntry entry = transaction.MakeLogEntry(this->log.GetRows());
  if (!idempotency_key.empty()) {
    entry.idempotency_key = idempotency_key;
    entry.statement = std::move(statement);
    entry.result = result;
  }
  this->log.Append(std::move(entry));
  return {std::move(result), this->log.LastPosition(), false};
}

std::string FormatPosition(Position position) {
  return R"({"term":)" + std::to_string(position.term) + R"(,"offset":)" + std::to_string(position.offset) + "}";
}

}  // namespace amaranthlane::stand_ins
