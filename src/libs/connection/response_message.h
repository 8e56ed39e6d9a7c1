#pragma once

#include "request/caller_request.h"

#include <string>
#include <variant>

namespace endiverail {

/// Messages from a traffic or control thread to the thread that serves a
/// caller's connection. The messages of one response are in order: a begin,
/// body data, and an end or an abort.
struct response_begin {
  response_handle ResponseHandle;
  response_head Head;
};

struct response_data {
  response_handle ResponseHandle;
  std::string Bytes;
};

struct response_end {
  response_handle ResponseHandle;
};

/// The response cannot be completed. The connection is closed, so that the
/// caller detects the truncation.
struct response_abort {
  response_handle ResponseHandle;
};

using response_message =
    std::variant<response_begin, response_data, response_end, response_abort>;

/// A destination for the messages of responses.
template <typename T>
concept response_sink = requires(T Sink, response_message Message) {
  {Sink.post(std::move(Message))};
};

inline const response_handle &
responseHandleOf(const response_message &Message) {
  return std::visit(
      [](const auto &Part) -> const response_handle & {
        return Part.ResponseHandle;
      },
      Message);
}

/// Posts a complete response with a small body.
template <response_sink Sink>
void postResponse(Sink &To, const response_handle &ResponseHandle,
                  response_head Head, std::string Body) {
  Head.Length = Body.size();
  To.post(response_begin{ResponseHandle, std::move(Head)});
  if (!Body.empty())
    To.post(response_data{ResponseHandle, std::move(Body)});
  To.post(response_end{ResponseHandle});
}

/// Returns the head of an error response.
inline response_head errorResponseHead(error_kind Kind) {
  const error_answer &Answer = errorAnswer(Kind);
  response_head Head;
  Head.Status = Answer.Status;
  Head.Outcome = Answer.Outcome;
  Head.Headers.push_back({"Endiverail-Error", std::string(Answer.Name)});
  Head.Headers.push_back({"Content-Type", "text/plain"});
  if (Answer.RetryAfterSeconds > 0)
    Head.Headers.push_back(
        {"Retry-After", std::to_string(Answer.RetryAfterSeconds)});
  return Head;
}

/// Posts an error response with \p Detail in its body.
template <response_sink Sink>
void postErrorResponse(Sink &To, const response_handle &ResponseHandle,
                       error_kind Kind, std::string_view Detail) {
  std::string Body(errorAnswer(Kind).Name);
  Body.append(": ").append(Detail).push_back('\n');
  postResponse(To, ResponseHandle, errorResponseHead(Kind), std::move(Body));
}

} // namespace endiverail
