#include "daemon/outgoing_calls.h"
#include "failure_check.h"
#include "http/curl_transport.h"
#include "raw_socket.h"

#include <catch2/catch.hpp>

using namespace endiverail;
using namespace endiverail::test;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t MostBytes = std::size_t{256} * 1024;

/// Makes one call and keeps its end.
class call_runner {
public:
  ended_call<int> run(const std::string &Server) {
    Ended.reset();
    Calls.start(1, Server, "GET", "/x", "", connection_choice::Fresh, 300ms);
    runEventLoop(Poller, *this);
    return *Ended;
  }

  void onCallEnded(const ended_call<int> &Call) { Ended = Call; }
  void onReady(const ready_descriptor &Ready, steady_time) {
    Calls.onReady(Ready);
  }
  void onWake(steady_time Now) { Calls.onWake(Now); }
  std::optional<steady_time> nextWake() const { return Calls.nextWake(); }
  bool finished() const { return Ended.has_value(); }

private:
  poller Poller = valueOf(poller::create());
  outgoing_calls<curl_transport, int, call_runner> Calls{Poller, *this,
                                                         MostBytes};
  std::optional<ended_call<int>> Ended;
};

} // namespace

TEST_CASE("an answer without end to a control thread's call takes no memory "
          "without end") {
  raw_server Server([](raw_connection Connection, std::size_t) {
    Connection.readUntil("\r\n\r\n");
    Connection.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string Chunk = "3e8\r\n" + std::string(1'000, 'x') + "\r\n";
    while (Connection.send(Chunk)) {
    }
  });
  call_runner Runner;
  auto Ended = Runner.run(Server.endpoint());
  CHECK_FALSE(Ended.succeeded());
  CHECK(Ended.Answer.size() <= MostBytes);
}
