#ifndef AMARANTHLANE_TESTS_PROXY_WORD_CODEC_H_
#define AMARANTHLANE_TESTS_PROXY_WORD_CODEC_H_

#include <string>
#include <string_view>

#include "proxy/statement_codec.h"

namespace amaranthlane::proxy {

// A wire protocol for tests: a message is a line of words.
//
// Callers say `open DATABASE`, `begin ID`, `begin_read ID`, `commit ID`, `rollback ID`, `read ID`, `write ID`,
// `set ID NAME VALUE`, `prepare ID NAME read|write SHAPE`, `execute ID NAME`, `close`. Endpoints answer `row TEXT`,
// `complete`, `failure CODE TEXT` (the code as a number) and `ready STATE TERM OFFSET` (the state as a number).
class WordCodec : public StatementCodec {
 public:
  std::size_t FrameLength(std::string_view bytes) const override;
  CallerMessage ParseCallerMessage(std::string_view frame) const override;
  EndpointMessage ParseEndpointMessage(std::string_view frame) const override;

  std::string Ready(statements::TransactionStatus state) const override;
  std::string Complete() const override;
  std::string Failure(statements::FailureCode code, std::string_view text) const override;

  // `connect GROUP VM ENDPOINT`.
  std::string Connect(const GroupName& group, const VmName& who, const EndpointName& endpoint) const override;
  // `forward KIND ID TERM OFFSET`, the kind as a number; without a position TERM is 0.
  std::string Forward(const statements::Statement& statement, const std::optional<LogPosition>& at_least,
                      const std::string& endpoint_name) const override;
  // `reset`, `value NAME VALUE` or `prepared NAME`.
  std::string Replay(const statements::RestoreStep& step) const override;
  std::string Rollback() const override;
  std::string Status() const override;
  std::string StepDown(Term term) const override;
  // Reads `PRIMARY TERM OFFSET`, PRIMARY being 0 or 1.
  failover::EndpointStatus ParseStatus(std::string_view row) const override;
};

}  // namespace amaranthlane::proxy

#endif  // AMARANTHLANE_TESTS_PROXY_WORD_CODEC_H_
