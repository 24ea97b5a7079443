#ifndef AMARANTHLANE_DAEMON_GROUP_WORK_H_
#define AMARANTHLANE_DAEMON_GROUP_WORK_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

#include "core/outcomes/request_table.h"
#include "core/scheduling/group_scheduler.h"
#include "daemon/endpoint_table.h"
#include "daemon/group_supervisor.h"
#include "daemon/open_work.h"
#include "daemon/transaction_runner.h"

namespace amaranthlane::daemon {

// Runs the work of a led group: queues it, assigns slots and connections, and returns the replies.
class GroupWork {
 public:
  GroupWork(GroupContext& context, const GroupName& group, GroupSupervisor& supervisor);
  ~GroupWork();
  GroupWork(const GroupWork&) = delete;
  GroupWork& operator=(const GroupWork&) = delete;

  void Submit(WorkRequest request, WorkCallback callback);

  void SetValidUntil(TimePoint until);
  void RecordAdopted(const replicas::GroupRecord& record);
  void PrimarySuspended(bool planned, TimePoint drain_deadline);
  void PrimaryServing();
  void ReplaceConnections(const EndpointName& endpoint);
  void Acknowledged(const std::vector<replicas::AcknowledgementResult>& results);
  void LeadershipEnded();
  // Opens no more transactions. Transactions that are open may continue until `until`.
  void Drain(TimePoint until);
  void Tick(TimePoint now);

  // True if neither work nor transactions are open.
  bool Idle() const;
  scheduling::PressureReport Pressure(TimePoint now);
  std::size_t Waiting(Rank rank) const;
  const EndpointTable& Endpoints() const;

 private:
  struct DelayedWork {
    outcomes::RequestId id = 0;
    bool must_use_primary = false;
    bool fresh_connection = false;
  };

  void Open(OpenWork& work, TimePoint now);
  void OpenStatement(OpenWork& work, TimePoint now);
  void QueryOutcome(const OpenWork& work, TimePoint now);
  void FinishOutcomeQuery(outcomes::RequestId id, Term term, const net::CallResult& result);
  bool MayReturnOutcome(Term term, const LogPosition& position);
  void Queue(OpenWork& work, TimePoint now);
  std::vector<replicas::InstanceLoad> EndpointLoads() const;
  std::optional<scheduling::EndpointSet> EligibleFor(OpenWork& work, TimePoint now);
  void DispatchWaiting(TimePoint now);
  void ExecuteSchedulerActions(scheduling::SchedulerActions& actions, TimePoint now);
  void Dispatch(const scheduling::Dispatch& dispatch, TimePoint now);
  void DispatchStatement(OpenWork& work, TimePoint now);
  void Send(OpenWork& work, outcomes::ConnectionId connection, TimePoint now);
  void Finish(outcomes::RequestId id, outcomes::ConnectionId connection, const net::CallResult& result);
  bool TryHandleReply(OpenWork& work, outcomes::ConnectionId connection, const net::CallResult& result, TimePoint now);
  void HandleConnectionLoss(outcomes::ConnectionId connection, TimePoint now);
  void HandleReply(OpenWork& work, outcomes::ConnectionId connection, const EndpointReply& endpoint_reply,
                   TimePoint now);
  void HandleRefusal(OpenWork& work, outcomes::ConnectionId connection, outcomes::EndpointRefusalReason reason,
                     TimePoint now);

  void ExecuteRequestActions(const outcomes::Actions& actions);
  void Execute(const outcomes::Requeue& action);
  void Execute(const outcomes::WithdrawQueued& action);
  void Execute(const outcomes::CloseConnection& action);
  void Execute(const outcomes::ReleaseAttempt& action);
  void Execute(const outcomes::AwaitReplication& action);
  void Execute(const outcomes::AnswerCaller& action);

  void ReleaseSlot(outcomes::RequestId id, bool ran_to_end);
  void Complete(outcomes::RequestId id, WorkReply reply);
  void ReportIdlePrimary();

  GroupContext& context;
  GroupName group;
  GroupSupervisor& supervisor;
  scheduling::GroupScheduler scheduler;
  outcomes::RequestTable requests;
  EndpointTable endpoints;
  OpenWorkTable open;
  TransactionRunner transactions;
  std::multimap<TimePoint, DelayedWork> delayed;
  outcomes::RequestId next_request = 1;
  TimePoint valid_until = TimePoint::min();
  // Set while a planned change of the primary waits for running work to end.
  std::optional<TimePoint> drain_deadline;
  // Callbacks hold a weak pointer to this, so that they do nothing after the object's destruction.
  std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

}  // namespace amaranthlane::daemon

#endif  // AMARANTHLANE_DAEMON_GROUP_WORK_H_
