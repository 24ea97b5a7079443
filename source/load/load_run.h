#ifndef AMARANTHLANE_LOAD_LOAD_RUN_H_
#define AMARANTHLANE_LOAD_LOAD_RUN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "client/caller.h"
#include "load/profile.h"
#include "load/report.h"
#include "load/write_history.h"

namespace amaranthlane::load {

// Runs a profile against a fleet, then reads back every write. The load is open-loop: send times are random and don't
// depend on responses, so that a slow fleet receives no fewer requests.
class LoadRun {
 public:
  // Both references must outlive this object.
  LoadRun(boost::asio::io_context& loop, const Profile& profile);

  // Starts the run. The event loop runs out of work when the run, verification included, has ended.
  void Start();
  const Report& Result() const;

 private:
  struct SessionState {
    client::Session session;
    // The last done write per group, in the order of `Profile::groups`; WriteIndex(-1) if there is none.
    std::vector<WriteIndex> last_write;
  };

  void ScheduleTick();
  void Tick();
  void SendDueRequests(std::size_t stream, TimePoint now);
  void Send(std::size_t stream, TimePoint now);
  void SendWrite(std::size_t stream, SessionState& session, std::size_t group, TimePoint now);
  void SendReadOwn(std::size_t stream, SessionState& session, std::size_t group, TimePoint now);
  void SendRead(std::size_t stream, SessionState& session, TimePoint now);
  void Read(std::size_t stream, SessionState& session, WriteIndex write, TimePoint now, Violation violation_if_absent);
  bool HasWritten(const SessionState& session, const GroupName& group) const;
  void RecordResult(std::size_t stream, const client::StatementResult& result, TimePoint sent_at);
  void CheckWriteResult(WriteIndex write, const client::StatementResult& result);
  void CountViolation(Violation violation);
  double RateAt(const Stream& stream, TimePoint now) const;
  void StartVerification();
  void VerifyNext();
  void RecordVerification(WriteIndex write, const client::StatementResult& result);

  const Profile& profile;
  client::Caller caller;
  std::mt19937_64 generator;
  boost::asio::steady_timer timer;
  WriteHistory history;
  std::vector<SessionState> sessions;
  std::vector<TimePoint> next_arrival;
  client::Session verify_session;
  Report report;
  TimePoint start;
  TimePoint end;
  std::uint64_t in_flight = 0;
  WriteIndex next_to_verify = 0;
};

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_LOAD_RUN_H_
