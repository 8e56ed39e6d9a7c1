#pragma once

#include "connection/response_message.h"
#include "process/active_request.h"
#include "process/message_dialect.h"
#include "process/metrics.h"

#include <chrono>
#include <string>
#include <string_view>
#include <utility>

namespace endiverail {

/// Posts the answers of a traffic thread's requests, and counts them.
template <response_sink Sink, message_dialect Dialect> class answer_writer {
public:
  answer_writer(Sink &To, process_metrics &Metrics, const Dialect &Words)
      : To(To), Metrics(Metrics), Words(Words) {}

  /// Passes on what there is of the answer to the attempt that runs.
  void passOn(active_request &Active) {
    if (!std::exchange(Active.HeadPosted, true))
      To.post(response_begin{
          Active.Request.ResponseHandle,
          Words.callerHead(*Active.Attempt->Head, Active.Attempt->fromPeer())});
    Active.Unwritten += Active.Buffered.size();
    To.post(response_data{Active.Request.ResponseHandle,
                          std::exchange(Active.Buffered, {})});
  }

  /// Passes on the rest of an answer that has begun.
  void finish(active_request &Active, outcome Outcome, std::string_view Error,
              steady_time Now) {
    if (!Active.Buffered.empty())
      To.post(response_data{Active.Request.ResponseHandle,
                            std::move(Active.Buffered)});
    To.post(response_end{Active.Request.ResponseHandle});
    count(Active, Outcome, Error, Now);
  }

  /// Posts a whole answer.
  void whole(const active_request &Active, response_head Head, std::string Body,
             std::string_view Error, steady_time Now) {
    outcome Outcome = Head.Outcome;
    if (Active.Request.Method == "HEAD") {
      // The length tells of a body that is not sent.
      To.post(response_begin{Active.Request.ResponseHandle, std::move(Head)});
      To.post(response_end{Active.Request.ResponseHandle});
    } else {
      postResponse(To, Active.Request.ResponseHandle, std::move(Head),
                   std::move(Body));
    }
    count(Active, Outcome, Error, Now);
  }

  /// Breaks the connection of an answer that can't be completed.
  void breakOff(const active_request &Active, steady_time Now) {
    To.post(response_abort{Active.Request.ResponseHandle});
    count(Active, outcome::Unknown, errorAnswer(error_kind::BackendCut).Name,
          Now);
  }

private:
  void count(const active_request &Active, outcome Outcome,
             std::string_view Error, steady_time Now) {
    Metrics.onAnswer(
        Active.Request.Service->Definition.Name, Active.Request.Kind->Rank,
        Outcome, Error,
        std::chrono::duration_cast<microseconds>(Now - Active.Request.Arrived));
  }

  Sink &To;
  process_metrics &Metrics;
  const Dialect &Words;
};

} // namespace endiverail
