#ifndef AMARANTHLANE_DAEMON_TRANSACTION_RUNNER_H_
#define AMARANTHLANE_DAEMON_TRANSACTION_RUNNER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <unordered_map>

#include "core/scheduling/connection_quota.h"
#include "core/transactions/transaction_table.h"
#include "daemon/endpoint_protocol.h"
#include "daemon/endpoint_table.h"
#include "daemon/group_supervisor.h"
#include "daemon/open_work.h"

namespace amaranthlane::daemon {

// Runs the open transactions of a led group on their connections to the primary.
class TransactionRunner {
 public:
  struct Host {
    // Ends open work with a reply.
    std::function<void(outcomes::RequestId, WorkReply)> complete;
    // Frees the slot that open work holds, if it holds one.
    std::function<void(outcomes::RequestId, bool ran_to_end)> release_slot;
  };

  TransactionRunner(GroupContext& context, const GroupName& group, GroupSupervisor& supervisor,
                    EndpointTable& endpoints, OpenWorkTable& open, Host host);

  // Opens a transaction for the work.
  void Begin(const OpenWork& work, TimePoint now);
  // Checks a statement, commit or rollback. Returns true if it is to be queued for a slot, false if it was refused and
  // answered.
  bool Accept(const OpenWork& work, TimePoint now);
  // The scheduler assigned a slot at the primary to the work.
  void Dispatched(const OpenWork& work, TimePoint now);
  // The scheduler refused the work.
  void Refused(const OpenWork& work, TimePoint now);

  void SetValidUntil(TimePoint until);
  void TermMoved(const replicas::GroupRecord& record, TimePoint now);
  void ReplicationReached(Term synced_term, std::uint64_t offset, TimePoint now);
  void ConnectionLost(outcomes::ConnectionId connection, TimePoint now);
  void LeadershipEnded(TimePoint now);
  void Drain(TimePoint until, TimePoint now);
  void Tick(TimePoint now);
  std::size_t OpenTransactions() const;

 private:
  void Execute(const transactions::SendCall& action);
  void Execute(const transactions::CloseTransactionConnection& action);
  void Execute(const transactions::ReturnConnection& action);
  void Execute(const transactions::AwaitCommitReplication& action);
  void Execute(const transactions::AnswerCall& action);
  void Execute(const transactions::QueryCommitOutcome& action);
  void ExecuteAll(const transactions::TransactionActions& actions);

  void Finish(outcomes::RequestId request, outcomes::ConnectionId connection, const net::CallResult& result);
  void HandleReply(outcomes::RequestId request, outcomes::ConnectionId connection, const EndpointReply& endpoint_reply);
  void QueryOutcome(const transactions::QueryCommitOutcome& action);
  void FinishOutcomeQuery(const transactions::QueryCommitOutcome& action, const net::CallResult& result);
  net::HttpRequest MakeMessage(const transactions::SendCall& action, const OpenWork& work) const;

  GroupContext& context;
  GroupName group;
  GroupSupervisor& supervisor;
  EndpointTable& endpoints;
  OpenWorkTable& open;
  Host host;
  transactions::TransactionTable table;
  scheduling::ConnectionQuota quota;
  // Commits whose outcome is to be queried by their keys, by the time of the query.
  std::multimap<TimePoint, transactions::QueryCommitOutcome> pending_outcome_queries;
  // Callbacks hold a weak pointer to this, so that they do nothing after the object's destruction.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_TRANSACTION_RUNNER_H_
