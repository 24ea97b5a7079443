#include "daemon/caller_request.h"

#include <gtest/gtest.h>

#include <exception>
#include <string>
#include <vector>

#include "core/outcomes/outcome_errors.h"
#include "core/outcomes/retry_rule.h"

namespace amaranthlane::daemon {
namespace {

const std::string kBegin = R"({"kind":"lodgement"})";

// Guards against a key that can't be forwarded to another VM, which would end this process.
TEST(CallerRequestTest, EveryCallChecksItsIdempotencyKey) {
  for (const std::string& key : {std::string("\xff"), std::string("a b"), std::string("a\0b", 3), std::string("\x7f"),
                                 std::string(outcomes::kMaxKeyLength + 1, 'a')}) {
    const std::vector<net::HttpRequest> requests = {
        {"GET", "/v1/groups/g/outcomes/" + net::EncodePathSegment(key), {}, ""},
        {"POST", "/v1/groups/g/transactions", {{"Idempotency-Key", key}}, kBegin},
        {"POST",
         "/v1/transactions/g~lodgement~0123456789abcdef0123456789abcdef/commit",
         {{"Idempotency-Key", key}},
         ""},
    };
    for (const net::HttpRequest& request : requests) {
      try {
        WorkRequest work;
        work.idempotency_key = ParseCallerRequest(request).idempotency_key;
        FormatWorkRequest(work, BootClock::now());
        ADD_FAILURE() << request.target << ": accepted";
      } catch (const outcomes::InvalidIdempotencyKeyError&) {
        continue;
      } catch (const std::exception& failure) {
        ADD_FAILURE() << request.target << ": " << failure.what();
      }
    }
  }
}

}  // namespace
}  // namespace amaranthlane::daemon
