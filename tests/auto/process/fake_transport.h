#pragma once

#include "connection/backend_attempt.h"
#include "connection/response_message.h"
#include "process/event_loop.h"
#include "process/traffic_message.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace endiverail::test {

/// An attempt with copies of all data that attempt_request refers to.
struct started_attempt {
  attempt_id Id = 0;
  std::string Server;
  std::string Method;
  std::string Target;
  std::vector<header_field> Headers;
  std::string Body;
  connection_choice Connection = connection_choice::Fresh;
  milliseconds Timeout{0};
};

/// Sends nothing. The test simulates the backend servers.
template <typename Observer> class fake_transport {
public:
  fake_transport(poller &, Observer &Receiver) : Receiver(Receiver) {}

  void start(const attempt_request &Request) {
    Attempts[Request.Id] = {Request.Id,
                            std::string(Request.Server),
                            std::string(Request.Method),
                            std::string(Request.Target),
                            {Request.Headers.begin(), Request.Headers.end()},
                            std::string(Request.Body),
                            Request.Connection,
                            Request.Timeout};
  }
  void resume(attempt_id Id) { Resumed.push_back(Id); }
  void cancel(attempt_id Id) {
    Cancelled.push_back(Id);
    Attempts.erase(Id);
  }
  bool onReady(const ready_descriptor &) { return false; }
  void onWake(steady_time) {}
  std::optional<steady_time> nextWake() const { return std::nullopt; }

  /// Simulates a response of the backend server.
  void respond(attempt_id Id, int Status, std::string_view Body,
               std::vector<header_field> Headers = {}) {
    if (!head(Id, Status, Body.size(), std::move(Headers)))
      return;
    if (Attempts.contains(Id) && !Body.empty())
      Receiver.onBodyData(Id, Body);
    end(Id, {});
  }

  /// Simulates the head of a response. Returns false if it was rejected.
  bool head(attempt_id Id, int Status, std::optional<std::uint64_t> Length,
            std::vector<header_field> Headers = {}) {
    auto Refused = Receiver.onHead(Id, {Status, std::move(Headers), Length});
    if (Refused)
      end(Id, {attempt_failure{*Refused, false, false}, ""});
    return !Refused;
  }

  /// Simulates an established connection. Returns whether the request is sent.
  bool connect(attempt_id Id) {
    if (Receiver.mayStart(Id))
      return true;
    end(Id, {attempt_failure{error_kind::BackendUnreachable, true, false}, "",
             true});
    return false;
  }

  void fail(attempt_id Id, error_kind Kind, bool ProvenNotRun = false) {
    end(Id, {attempt_failure{Kind, ProvenNotRun, false}, ""});
  }

  void end(attempt_id Id, const attempt_end &End) {
    Attempts.erase(Id);
    Receiver.onEnd(Id, End);
  }

  Observer &Receiver;
  std::map<attempt_id, started_attempt> Attempts;
  std::vector<attempt_id> Cancelled;
  std::vector<attempt_id> Resumed;
};

/// A response as received by a caller.
struct collected_response {
  std::optional<response_head> Head;
  std::string Body;
  bool Ended = false;
  bool Broken = false;
};

class response_collector {
public:
  void post(response_message Message) {
    if (OnPost)
      OnPost();
    collected_response &Response =
        Responses[responseHandleOf(Message).Connection];
    if (auto *Begin = std::get_if<response_begin>(&Message))
      Response.Head = std::move(Begin->Head);
    if (auto *Piece = std::get_if<response_data>(&Message))
      Response.Body += Piece->Bytes;
    Response.Ended |= std::holds_alternative<response_end>(Message);
    Response.Broken |= std::holds_alternative<response_abort>(Message);
  }
  std::map<std::uint64_t, collected_response> Responses;
  /// Called with each part of a response.
  std::function<void()> OnPost;
};

struct notice_collector {
  void notify(control_notice Notice) { Notices.push_back(std::move(Notice)); }

  /// The work of all reports so far.
  std::vector<server_work> reportedWork() const {
    std::vector<server_work> Work;
    for (const control_notice &Notice : Notices)
      if (const auto *Reports = std::get_if<work_reports>(&Notice))
        for (const work_report &Report : Reports->Services)
          Work.insert(Work.end(), Report.Servers.begin(), Report.Servers.end());
    return Work;
  }

  std::vector<control_notice> Notices;
};

/// A time source controlled by the test.
struct manual_clock {
  const steady_time *Time = nullptr;
  steady_time now() const { return *Time; }
  wall_time wall() const {
    return wall_time(
        std::chrono::duration_cast<milliseconds>(Time->time_since_epoch()));
  }
};

} // namespace endiverail::test
