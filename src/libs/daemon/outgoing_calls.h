#pragma once

#include "connection/backend_attempt.h"
#include "process/event_loop.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiverail {

/// An HTTP call that has ended.
template <typename Purpose> struct ended_call {
  Purpose For;
  /// 0 when there was no whole answer.
  int Status = 0;
  std::vector<header_field> Headers;
  std::string Answer;
  /// Without an answer: nothing was done at the other side.
  bool ProvenNotRun = false;
  attempt_connection Connection{};
  steady_time Started;

  bool succeeded() const {
    constexpr int Success = 200;
    return Status == Success;
  }
};

/// The HTTP calls that a control thread makes, each with a purpose by which its
/// owner knows it again. An answer is handed over once it is whole, by
/// onCallEnded() of the owner. Belongs to one thread.
template <template <typename> typename TransportOf, typename Purpose,
          typename Owner>
class outgoing_calls {
public:
  /// \p Poller and \p To outlive the calls. A call whose answer has more than
  /// \p MostAnswerBytes fails at its timeout.
  outgoing_calls(poller &Poller, Owner &To, std::size_t MostAnswerBytes)
      : To(To), MostAnswerBytes(MostAnswerBytes), Transport(Poller, *this) {}

  void start(Purpose For, std::string_view Server, std::string_view Method,
             std::string_view Target, std::string_view Body,
             connection_choice Connection, milliseconds Timeout) {
    attempt_id Id = NextId++;
    call &Call = Calls[Id];
    Call.Ended.For = std::move(For);
    Call.Ended.Started = steadyNow();
    Call.Target = Target;
    Call.Body = Body;
    Transport.start(
        {Id, Server, Method, Call.Target, {}, Call.Body, Connection, Timeout});
  }

  /// Gives up the calls whose purpose \p Matches; their ends are not told.
  template <typename Predicate> void cancelIf(Predicate &&Matches) {
    std::erase_if(Calls, [&](const auto &Entry) {
      if (!Matches(Entry.second.Ended.For))
        return false;
      Transport.cancel(Entry.first);
      return true;
    });
  }

  bool onReady(const ready_descriptor &Ready) {
    return Transport.onReady(Ready);
  }
  void onWake(steady_time Now) { Transport.onWake(Now); }
  std::optional<steady_time> nextWake() const { return Transport.nextWake(); }

  // The transport reports here.

  bool mayStart(attempt_id Id) {
    if constexpr (HearsProgress)
      To.onCallSent(Calls.at(Id).Ended.For);
    return true;
  }

  std::optional<error_kind> onHead(attempt_id Id,
                                   const backend_response_head &Head) {
    ended_call<Purpose> &Ended = Calls.at(Id).Ended;
    Ended.Status = Head.Status;
    Ended.Headers = Head.Headers;
    if constexpr (HearsProgress)
      if (Ended.succeeded())
        To.onCallAnswering(Ended.For);
    return std::nullopt;
  }

  bool onBodyData(attempt_id Id, std::string_view Piece) {
    std::string &Answer = Calls.at(Id).Ended.Answer;
    if (Answer.size() + Piece.size() > MostAnswerBytes)
      return false;
    Answer.append(Piece);
    return true;
  }

  void onEnd(attempt_id Id, const attempt_end &End) {
    ended_call<Purpose> Ended = std::move(Calls.at(Id).Ended);
    Calls.erase(Id);
    Ended.Connection = End.Connection;
    if (End.Failure) {
      Ended.Status = 0;
      Ended.ProvenNotRun = End.Failure->ProvenNotRun;
    }
    To.onCallEnded(Ended);
  }

private:
  /// An owner may want to hear that a call has left, on a connection that is
  /// there, and that the head of a successful answer has come.
  static constexpr bool HearsProgress = requires(Owner & To, Purpose For) {
    To.onCallSent(For);
    To.onCallAnswering(For);
  };

  struct call {
    ended_call<Purpose> Ended;
    std::string Target;
    std::string Body;
  };

  Owner &To;
  std::size_t MostAnswerBytes;
  std::map<attempt_id, call> Calls;
  attempt_id NextId = 1;
  TransportOf<outgoing_calls> Transport;
};

} // namespace endiverail
