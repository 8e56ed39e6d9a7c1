#pragma once

#include "connection/answer_judgement.h"
#include "connection/answer_message.h"
#include "process/attempt_fields.h"

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What an attempt says of itself to a backend server.
struct attempt_context {
  const attempt_sender &Sender;
  const caller_request &Request;
  attempt_id Id = 0;
  /// The instance that is expected at the address, where it is known.
  std::string_view Instance;
  milliseconds TimeLeft{0};
};

/// How requests, answers and errors are worded, apart from all decisions.
template <typename T>
concept message_dialect = requires(const T Dialect,
                                   const attempt_context &Context,
                                   const backend_head &Head,
                                   std::string_view Identifier, error_kind Kind,
                                   milliseconds Pause) {
  /// What the answer to the attempt has to be marked with.
  { Dialect.expectedIdentifier(Context) } -> std::same_as<std::string>;
  /// Fields for a backend server.
  { Dialect.serverFields(Context) } -> std::same_as<std::vector<header_field>>;
  /// Judges an answer's head; see judgeAnswer.
  { Dialect.judge(Head, Identifier, bool{}) } -> std::same_as<answer_judgement>;
  /// The head that a caller gets for a backend server's or a peer's answer.
  { Dialect.callerHead(Head, bool{}) } -> std::same_as<answer_head>;
  /// The head that tells a caller of an error, with the time after which
  /// another try may succeed; 0 for what the error's kind says.
  { Dialect.errorHead(Kind, Pause) } -> std::same_as<answer_head>;
  /// Whether an answer may end with its connection.
  { T::AcceptsUnframed } -> std::convertible_to<bool>;
};

/// The fleet's own interface; docs/INTERFACES.md describes it.
struct fleet_dialect {
  static constexpr bool AcceptsUnframed = false;

  static std::string expectedIdentifier(const attempt_context &Context) {
    return attemptIdentifier(Context.Sender, Context.Id);
  }
  static std::vector<header_field>
  serverFields(const attempt_context &Context) {
    return endiverail::serverFields(Context.Sender, Context.Request, Context.Id,
                                    Context.TimeLeft);
  }
  static answer_judgement judge(const backend_head &Head,
                                std::string_view Identifier, bool MayRetry) {
    return judgeAnswer(Head, Identifier, MayRetry);
  }
  static answer_head callerHead(const backend_head &Head, bool FromPeer) {
    return endiverail::callerHead(Head, FromPeer);
  }
  static answer_head errorHead(error_kind Kind, milliseconds) {
    return endiverail::errorHead(Kind);
  }
};
static_assert(message_dialect<fleet_dialect>);

} // namespace endiverail
