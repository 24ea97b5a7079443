#include "platform/shared_store.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <thread>
#include <utility>

#include "net/http_message.h"

namespace amaranthlane::platform {

namespace {

using boost::asio::ip::tcp;

// The revisions: of the objects in the list, of those that arrive at once, and of the changes after them.
constexpr std::size_t kListed = 10;
constexpr std::size_t kArrived = 20;
constexpr std::size_t kChanged = SharedStore::kLastVersion;
constexpr std::chrono::milliseconds kWatchTime{100};

std::string ObjectText(const std::string& name, std::size_t revision, const std::string& members) {
  return R"({"meta":{"name":")" + name + R"(","revision":)" + std::to_string(revision) + "}," + members + "}";
}

std::string EndpointText(const std::string& name, std::size_t revision, const std::string& state) {
  return ObjectText(
      name, revision,
      R"("spec":{"service":"g","address":"127.0.0.1:7000","db_role":"replica","slots":2,"state":")" + state + R"("})");
}

// Its version is the revision.
std::string ConfigurationText(std::size_t revision) {
  return ObjectText("main", revision,
                    R"("spec":{"routes":[],"services":[{"name":"g"}],"version":)" + std::to_string(revision) + "}");
}

std::string EventText(const std::string& object) { return R"({"deleted":false,"object":)" + object + "}"; }

// Names sort between "a" and "z".
std::string ForeignName(std::size_t number) {
  const std::string digits = std::to_string(number);
  return "foreign-" + std::string(8 - digits.size(), '0') + digits;
}

// Serves one connection, in a thread of the store's process.
class Responder {
 public:
  Responder(tcp::socket socket, const ForeignObjects& foreign) : socket(std::move(socket)), foreign(foreign) {}

  void Run() {
    std::string received;
    boost::system::error_code error;
    while (true) {
      const std::size_t end = received.find("\r\n\r\n");
      if (end != std::string::npos) {
        const std::size_t target = received.find(' ') + 1;
        this->Answer(received.substr(target, received.find(' ', target) - target));
        received.erase(0, end + 4);
        continue;
      }
      std::string part(4096, '\0');
      const std::size_t bytes = this->socket.read_some(boost::asio::buffer(part), error);
      if (error) {
        return;
      }
      received += part.substr(0, bytes);
    }
  }

 private:
  void Answer(const std::string& target) {
    const std::string kind = net::PathSegments(net::TargetPath(target)).at(1);
    const std::string watch = net::QueryParameter(target, "watch");
    if (!watch.empty()) {
      this->AnswerWatch(kind, std::stoull(watch));
    } else {
      this->AnswerList(kind, net::QueryParameter(target, "after"));
    }
  }

  bool HasForeign(const std::string& kind) const { return kind == this->foreign.kind; }

  void AnswerList(const std::string& kind, const std::string& after) {
    this->BeginBody();
    this->Send("{\"items\":[");
    const bool first_page = after.empty();
    if (first_page && kind == "servers") {
      this->SendObject(EndpointText("a", kListed, "ready"));
    } else if (first_page && kind == "config") {
      this->SendObject(ConfigurationText(kListed));
    }
    std::size_t next = after.rfind("foreign-", 0) == 0 ? std::stoull(after.substr(8)) + 1 : 0;
    const std::size_t count = this->HasForeign(kind) && !this->foreign.arrive_at_once ? this->foreign.count : 0;
    for (std::size_t sent = 0; sent < this->foreign.per_page && next < count; ++sent) {
      this->SendObject(ObjectText(ForeignName(next++), kListed, this->foreign.members));
    }
    const bool has_more = next < count;
    if (!has_more && kind == "servers") {
      this->SendObject(EndpointText("z", kListed, "ready"));
    }
    this->Send(std::string("],\"has_more\":") + (has_more ? "true" : "false") +
               ",\"as_of_rev\":" + std::to_string(kListed) + "}");
    this->EndBody();
  }

  void AnswerWatch(const std::string& kind, std::size_t since) {
    std::this_thread::sleep_for(kWatchTime);
    this->BeginBody();
    this->Send("{\"events\":[");
    std::size_t revision = since;
    if (since < kArrived) {
      revision = kArrived;
      for (std::size_t number = 0;
           this->HasForeign(kind) && this->foreign.arrive_at_once && number < this->foreign.count; ++number) {
        this->SendObject(EventText(ObjectText(ForeignName(number), kArrived, this->foreign.members)));
      }
    } else if (since < kChanged) {
      revision = kChanged;
      this->SendObject(
          EventText(kind == "servers" ? EndpointText("z", kChanged, "draining") : ConfigurationText(kChanged)));
    }
    this->Send("],\"as_of_rev\":" + std::to_string(revision) + "}");
    this->EndBody();
  }

  void BeginBody() {
    this->first_object = true;
    boost::asio::write(
        this->socket,
        boost::asio::buffer(std::string("HTTP/1.1 200 OK\r\nStore-Era: 1\r\nTransfer-Encoding: chunked\r\n\r\n")));
  }

  void SendObject(const std::string& text) {
    this->Send((this->first_object ? "" : ",") + text);
    this->first_object = false;
  }

  void Send(const std::string& text) {
    std::array<char, 32> length{};
    std::snprintf(length.data(), length.size(), "%zx\r\n", text.size());
    boost::asio::write(this->socket, boost::asio::buffer(std::string(length.data()) + text + "\r\n"));
  }

  void EndBody() { boost::asio::write(this->socket, boost::asio::buffer(std::string("0\r\n\r\n"))); }

  tcp::socket socket;
  const ForeignObjects& foreign;
  bool first_object = true;
};

[[noreturn]] void ServeForever(tcp::acceptor& acceptor, const ForeignObjects& foreign) {
  while (true) {
    tcp::socket socket = acceptor.accept();
    std::thread([socket = std::move(socket), &foreign]() mutable {
      try {
        Responder(std::move(socket), foreign).Run();
      } catch (const std::exception&) {
        // The other side has closed the connection.
      }
    }).detach();
  }
}

}  // namespace

SharedStore::SharedStore(const ForeignObjects& foreign) {
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  this->address = {"127.0.0.1", acceptor.local_endpoint().port()};
  this->process = fork();
  if (this->process == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    std::signal(SIGPIPE, SIG_IGN);
    ServeForever(acceptor, foreign);
  }
}

SharedStore::~SharedStore() {
  kill(this->process, SIGKILL);
  waitpid(this->process, nullptr, 0);
}

const net::Address& SharedStore::Address() const { return this->address; }

}  // namespace amaranthlane::platform
