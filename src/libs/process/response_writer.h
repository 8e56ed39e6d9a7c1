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

/// Posts the responses to a traffic thread's requests and records their
/// metrics.
template <response_sink Sink, message_dialect Dialect> class response_writer {
public:
  response_writer(Sink &Output, process_metrics &Metrics,
                  const Dialect &MessageDialect)
      : Output(Output), Metrics(Metrics), MessageDialect(MessageDialect) {}

  /// Forwards the buffered part of the current attempt's response.
  void forwardBuffered(active_request &Active) {
    if (!std::exchange(Active.HeadSent, true))
      Output.post(response_begin{
          Active.Request.ResponseHandle,
          MessageDialect.callerHead(*Active.Attempt->Head,
                                    Active.Attempt->goesToPeer())});
    Active.UnwrittenBytes += Active.Buffered.size();
    Output.post(response_data{Active.Request.ResponseHandle,
                              std::exchange(Active.Buffered, {})});
  }

  /// Forwards the rest of a response whose head has been sent.
  void finish(active_request &Active, outcome Outcome, std::string_view Error,
              steady_time Now) {
    if (!Active.Buffered.empty())
      Output.post(response_data{Active.Request.ResponseHandle,
                                std::move(Active.Buffered)});
    Output.post(response_end{Active.Request.ResponseHandle});
    recordMetrics(Active, Outcome, Error, Now);
  }

  /// Posts a complete response.
  void writeWhole(const active_request &Active, response_head Head,
                  std::string Body, std::string_view Error, steady_time Now) {
    outcome Outcome = Head.Outcome;
    if (Active.Request.Method == "HEAD") {
      // The response to HEAD has the length of the body but not the body
      // itself.
      Output.post(
          response_begin{Active.Request.ResponseHandle, std::move(Head)});
      Output.post(response_end{Active.Request.ResponseHandle});
    } else {
      postResponse(Output, Active.Request.ResponseHandle, std::move(Head),
                   std::move(Body));
    }
    recordMetrics(Active, Outcome, Error, Now);
  }

  /// Closes the connection of a response that can't be completed.
  void abort(const active_request &Active, steady_time Now) {
    Output.post(response_abort{Active.Request.ResponseHandle});
    recordMetrics(Active, outcome::Unknown,
                  errorAnswer(error_kind::BackendCut).Name, Now);
  }

private:
  void recordMetrics(const active_request &Active, outcome Outcome,
                     std::string_view Error, steady_time Now) {
    Metrics.onResponse(Active.Request.Service->Definition.Name,
                       Active.Request.Kind->Rank, Outcome, Error,
                       std::chrono::duration_cast<microseconds>(
                           Now - Active.Request.Arrival.At));
  }

  Sink &Output;
  process_metrics &Metrics;
  const Dialect &MessageDialect;
};

} // namespace endiverail
