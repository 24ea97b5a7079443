#ifndef AMARANTHLANE_LOAD_LOAD_RUN_H_
#define AMARANTHLANE_LOAD_LOAD_RUN_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "client/caller.h"
#include "load/ledger.h"
#include "load/profile.h"
#include "load/report.h"

namespace amaranthlane::load {

// Runs a profile against a fleet, then reads back every write. The requests' times are drawn beforehand, so that a slow
// fleet gets no fewer of them.
class LoadRun {
 public:
  // Both references must outlive the run.
  LoadRun(boost::asio::io_context& loop, const Profile& profile);

  // Begins; the event loop runs out of work when the run has ended.
  void Start();
  const Report& Result() const;

 private:
  struct SessionRow {
    client::Session session;
    // The session's last done write; the ledger's size if there is none.
    std::vector<WriteIndex> last_write;
  };

  void ScheduleTick();
  void Tick();
  void SendDue(std::size_t stream, TimePoint now);
  void Send(std::size_t stream, TimePoint now);
  void SendWrite(std::size_t stream, SessionRow& session, std::size_t group, TimePoint now);
  void SendReadOwn(std::size_t stream, SessionRow& session, std::size_t group, TimePoint now);
  void SendRead(std::size_t stream, SessionRow& session, TimePoint now);
  void Read(std::size_t stream, SessionRow& session, WriteIndex write, TimePoint now, Violation when_absent);
  bool HasWritten(const SessionRow& session, const GroupName& group) const;
  void Count(std::size_t stream, const client::StatementResult& result, TimePoint sent_at);
  void JudgeWrite(WriteIndex write, const client::StatementResult& result);
  void Violate(Violation violation);
  double RateAt(const Stream& stream, TimePoint now) const;
  void Verify();
  void VerifyNext();
  void TakeVerification(WriteIndex write, const client::StatementResult& result);

  const Profile& profile;
  client::Caller caller;
  std::mt19937_64 generator;
  boost::asio::steady_timer timer;
  Ledger ledger;
  std::vector<SessionRow> sessions;
  std::vector<TimePoint> next_arrival;
  client::Session verify_session;
  Report report;
  TimePoint start;
  TimePoint end;
  std::uint64_t in_flight = 0;
  WriteIndex next_verified = 0;
};

}  // namespace amaranthlane::load

#endif  // AMARANTHLANE_LOAD_LOAD_RUN_H_
