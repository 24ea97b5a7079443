#ifndef AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_TABLE_H_
#define AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_TABLE_H_

#include <cstddef>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/transactions/transaction.h"

namespace amaranthlane::transactions {

// The settings of the transaction table.
struct TransactionTableSettings {
  // Maximum time that a transaction may wait for its caller's next call.
  Duration idle_timeout = std::chrono::seconds(5);
  // Maximum time that a transaction may be open.
  Duration total_timeout = std::chrono::seconds(30);
  std::size_t max_transactions = 1024;
};

// The open transactions of one group at its leader. A transaction owns its connection until a commit or rollback is
// answered. Any other end closes the connection, so that no statement or answer of the transaction can affect the
// connection's next user.
class TransactionTable {
 public:
  explicit TransactionTable(const TransactionTableSettings& settings);

  // Throws TransactionsDrainingError, TooManyTransactionsError or TransactionInUseError.
  void Open(const NewTransaction& transaction, TimePoint now);
  // Adds a call, which then waits for its slot until StartCall. Throws TransactionNotFoundError if the caller has no
  // such open transaction, and TransactionBusyError while another call of it is open.
  void AddCall(const TransactionCall& call, TimePoint now);
  // The call was assigned a slot: an action sends it. Returns false if the call has ended or ends now; the slot is then
  // to be freed.
  bool StartCall(const TransactionId& transaction, RequestId request, TimePoint now, TransactionActions& actions);
  // Ends a call that the scheduler refused before it was sent. The transaction stays open.
  void RefuseCall(const TransactionId& transaction, RequestId request, TimePoint now, TransactionActions& actions);
  // An endpoint answered that it ran a call. kMismatched: the call isn't running on that connection. An action closes
  // the connection, and the transaction that owns it ends.
  outcomes::DeliveryResult Answered(const outcomes::EndpointAnswer& answer, TimePoint now, TransactionActions& actions);
  // The endpoint refused a call before running it. The transaction ends.
  outcomes::DeliveryResult RefusedByEndpoint(const outcomes::EndpointRefusal& refusal, TimePoint now,
                                             TransactionActions& actions);
  // The query for the outcome of a commit whose answer was lost has ended: the commit is in the log of the primary of
  // `queried_term` at `position`; none if the primary doesn't know the key or gave no valid answer. An unknown key
  // proves nothing, as the commit may still be on its way, so in both cases the outcome is queried again.
  void CommitOutcomeLearned(const TransactionId& transaction, Term queried_term,
                            const std::optional<LogPosition>& position, TimePoint now, TransactionActions& actions);
  // A replica that matched its primary's log under `synced_term` has applied it up to `offset`.
  void ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now, TransactionActions& actions);
  void ConnectionLost(ConnectionId connection, TimePoint now, TransactionActions& actions);
  // The caller has disconnected. Ends its transactions, except those whose commit was sent; these end when the commit
  // is answered.
  void CallerGone(const std::string& owner, TimePoint now, TransactionActions& actions);
  // Sets the time until which this VM may act as the group's leader. After it, no call is sent and no statement or
  // commit is acknowledged.
  void SetLeadershipValidUntil(TimePoint until);
  // This VM is no longer the leader. Ends every transaction without acknowledging a commit.
  void LeadershipEnded(TimePoint now, TransactionActions& actions);
  // Sets the group's term, for the first time before the first transaction is opened. A higher term ends the open
  // transactions; for commits that were sent with a key, the outcome is queried. A lower or equal term is ignored.
  void TermMoved(Term term, TimePoint now, TransactionActions& actions);
  // Refuses new transactions from now on. Open ones may continue until `until`.
  void Drain(TimePoint until, TimePoint now);
  // Ends the calls and transactions whose deadline has passed.
  void Tick(TimePoint now, TransactionActions& actions);

  // When Tick next has something to do; kNever if nothing is open.
  TimePoint NextDeadline() const;
  std::size_t OpenTransactions() const;

 private:
  enum class State : std::uint8_t { kIdle, kCallWaiting, kCallSent, kAwaitingReplication, kCommitInDoubt };
  struct Entry {
    NewTransaction transaction;
    State state = State::kIdle;
    TransactionCall call;
    bool connection_open = true;
    LogPosition position;
    TimePoint idle_deadline = kNever;
    TimePoint total_deadline = kNever;
    // The time under which the entry is stored in `deadlines`.
    TimePoint next_deadline = kNever;
  };
  struct DeadlineEntry {
    TimePoint time;
    TransactionId transaction;

    bool operator<(const DeadlineEntry& other) const {
      return this->time != other.time ? this->time < other.time : this->transaction < other.transaction;
    }
  };
  struct AwaitedOffset {
    std::uint64_t offset = 0;
    TransactionId transaction;

    bool operator<(const AwaitedOffset& other) const {
      return this->offset != other.offset ? this->offset < other.offset : this->transaction < other.transaction;
    }
  };

  Entry* Find(const TransactionId& transaction);
  Entry* FindByConnection(ConnectionId connection);
  // The entry whose call `request` is running on the connection; null if there is none.
  Entry* FindSent(ConnectionId connection, RequestId request);
  outcomes::DeliveryResult HandleMismatch(ConnectionId connection, TimePoint now, TransactionActions& actions);
  bool LeadershipValid(TimePoint now) const;
  bool CommitSent(const Entry& entry) const;
  void SetState(Entry& entry, State state);
  void BecomeIdle(Entry& entry, TimePoint now);
  void AnswerOpenCall(const Entry& entry, Outcome outcome, TransactionEndReason reason, TransactionActions& actions);
  void FinishCommit(Entry& entry, const LogPosition& position, TimePoint now, TransactionActions& actions);
  void AcknowledgeCommit(Entry& entry, TimePoint now, TransactionActions& actions);
  void CloseConnection(Entry& entry, TransactionActions& actions);
  void ReturnToPool(Entry& entry, TransactionActions& actions);
  // Ends a transaction in any state. If its commit was sent with an idempotency key, the outcome of the commit is
  // queried first.
  void Terminate(Entry& entry, TransactionEndReason reason, TimePoint now, TransactionActions& actions);
  void QueryOutcomeOrEnd(Entry& entry, TransactionEndReason reason, TimePoint not_before, TimePoint now,
                         TransactionActions& actions);
  void End(Entry& entry, Outcome outcome, TransactionEndReason reason, TransactionActions& actions);
  void Remove(Entry& entry);
  void HandleDeadline(Entry& entry, TimePoint now, TransactionActions& actions);
  void TerminateAll(TransactionEndReason reason, TimePoint now, TransactionActions& actions);
  std::vector<TransactionId> AllIds() const;

  TransactionTableSettings settings;
  std::unordered_map<TransactionId, Entry, TransactionIdHash> entries;
  std::unordered_map<ConnectionId, TransactionId> connections;
  std::set<DeadlineEntry> deadlines;
  std::set<AwaitedOffset> awaited_offsets;
  TimePoint leadership_valid_until = TimePoint::min();
  Term term = 0;
  // When the open transactions end because of the drain; kNever: no drain.
  TimePoint drain_deadline = kNever;
};

}  // namespace amaranthlane::transactions

#endif  // AMARANTHLANE_CORE_TRANSACTIONS_TRANSACTION_TABLE_H_
