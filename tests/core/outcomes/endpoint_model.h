#ifndef AMARANTHLANE_TESTS_CORE_OUTCOMES_ENDPOINT_MODEL_H_
#define AMARANTHLANE_TESTS_CORE_OUTCOMES_ENDPOINT_MODEL_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/outcomes/request.h"

namespace amaranthlane::outcomes {

// A model of an endpoint that may run a statement long after its connection broke. Each message that was sent runs
// once, unless the endpoint refuses it. Of the messages with the same key only the first has an effect.
class EndpointModel {
 public:
  struct Message {
    RequestId request = 0;
    ConnectionId connection = 0;
    std::string key;
    bool handled = false;
  };

  // Sends a message. Returns its index in `messages`.
  std::size_t Send(const Request& request, ConnectionId connection) {
    this->messages.push_back({.request = request.id, .connection = connection, .key = request.idempotency_key});
    return this->messages.size() - 1;
  }

  // Runs a message that wasn't handled yet and returns the log offset of its effect.
  std::uint64_t Run(std::size_t index) {
    Message& message = this->messages[index];
    message.handled = true;
    if (!message.key.empty() && this->offsets_by_key.contains(message.key)) {
      return this->offsets_by_key[message.key];
    }
    ++this->effects[message.request];
    this->log.push_back(message.request);
    this->offsets_by_key.emplace(message.key, this->log.size());
    return this->log.size();
  }

  // Runs all messages that weren't handled yet.
  void RunUnhandled() {
    for (std::size_t index = 0; index < this->messages.size(); ++index) {
      if (!this->messages[index].handled) {
        this->Run(index);
      }
    }
  }

  std::vector<Message> messages;
  // How often each request had an effect.
  std::map<RequestId, int> effects;
  // The request whose effect has the log offset index + 1.
  std::vector<RequestId> log;

 private:
  std::map<std::string, std::uint64_t> offsets_by_key;
};

}  // namespace amaranthlane::outcomes

#endif  // AMARANTHLANE_TESTS_CORE_OUTCOMES_ENDPOINT_MODEL_H_
