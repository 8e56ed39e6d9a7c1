#pragma once

#include "request/caller_request.h"

#include <string>
#include <variant>

namespace endiverail {

/// What a traffic or control thread tells the thread of a caller's connection.
/// The messages of one answer come in order: a begin, pieces, and an end or a
/// break.
struct answer_begin {
  caller_ticket Ticket;
  answer_head Head;
};

struct answer_piece {
  caller_ticket Ticket;
  std::string Bytes;
};

struct answer_end {
  caller_ticket Ticket;
};

/// The answer can't be completed: the connection is closed, so that the caller
/// sees that what it has is not whole.
struct answer_break {
  caller_ticket Ticket;
};

using answer_message =
    std::variant<answer_begin, answer_piece, answer_end, answer_break>;

/// Where answers go.
template <typename T>
concept answer_sink = requires(T Sink, answer_message Message) {
  {Sink.post(std::move(Message))};
};

inline const caller_ticket &ticketOf(const answer_message &Message) {
  return std::visit(
      [](const auto &Part) -> const caller_ticket & { return Part.Ticket; },
      Message);
}

/// Posts a small answer as a whole.
template <answer_sink Sink>
void postWhole(Sink &To, const caller_ticket &Ticket, answer_head Head,
               std::string Body) {
  Head.Length = Body.size();
  To.post(answer_begin{Ticket, std::move(Head)});
  if (!Body.empty())
    To.post(answer_piece{Ticket, std::move(Body)});
  To.post(answer_end{Ticket});
}

/// The answer that tells a caller of an error.
inline answer_head errorHead(error_kind Kind) {
  const error_answer &Answer = errorAnswer(Kind);
  answer_head Head;
  Head.Status = Answer.Status;
  Head.Outcome = Answer.Outcome;
  Head.Headers.push_back({"Endiverail-Error", std::string(Answer.Name)});
  Head.Headers.push_back({"Content-Type", "text/plain"});
  if (Answer.RetryAfterSeconds > 0)
    Head.Headers.push_back(
        {"Retry-After", std::to_string(Answer.RetryAfterSeconds)});
  return Head;
}

/// Posts the answer that tells a caller of an error.
template <answer_sink Sink>
void postError(Sink &To, const caller_ticket &Ticket, error_kind Kind,
               std::string_view Detail) {
  std::string Body(errorAnswer(Kind).Name);
  Body.append(": ").append(Detail).push_back('\n');
  postWhole(To, Ticket, errorHead(Kind), std::move(Body));
}

} // namespace endiverail
