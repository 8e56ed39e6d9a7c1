#pragma once

#include "failure_check.h"
#include "http/curl_transport.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace endiverail::test {

/// Runs one attempt at a time and keeps what was reported.
class attempt_runner {
public:
  attempt_end run(attempt_request Request) {
    Request.Id = ++LastId;
    Head = {};
    Body.clear();
    End.reset();
    Transport.start(Request);
    runEventLoop(Poller, *this);
    return *End;
  }

  static attempt_request request(std::string_view Method,
                                 std::string_view Server) {
    attempt_request Request;
    Request.Server = Server;
    Request.Method = Method;
    Request.Target = "/x";
    Request.Timeout = std::chrono::seconds(10);
    return Request;
  }

  void onReady(const ready_descriptor &Ready, steady_time) {
    Transport.onReady(Ready);
  }
  void onWake(steady_time Now) { Transport.onWake(Now); }
  std::optional<steady_time> nextWake() const { return Transport.nextWake(); }
  bool finished() const { return End.has_value(); }

  bool mayStart(attempt_id) {
    Starts += MayStart ? 1 : 0;
    return MayStart;
  }
  std::optional<error_kind> onHead(attempt_id, backend_response_head Read) {
    Head = std::move(Read);
    return Refuse;
  }
  bool onBodyData(attempt_id, std::string_view Piece) {
    Body.append(Piece);
    return true;
  }
  void onEnd(attempt_id, const attempt_end &Ended) { End = Ended; }

  backend_response_head Head;
  std::string Body;
  std::optional<error_kind> Refuse;
  bool MayStart = true;
  /// Attempts that were permitted to start.
  std::size_t Starts = 0;

private:
  poller Poller = valueOf(poller::create());
  curl_transport<attempt_runner> Transport{Poller, *this};
  std::optional<attempt_end> End;
  attempt_id LastId = 0;
};

} // namespace endiverail::test
