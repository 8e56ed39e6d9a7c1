#pragma once

#include "connection/response_classification.h"
#include "connection/response_message.h"
#include "process/attempt_fields.h"

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What an attempt says of itself to a backend server.
struct attempt_words {
  const attempt_sender &Sender;
  const caller_request &Request;
  attempt_id Id = 0;
  /// The instance that is expected at the address, where it is known.
  std::string_view Instance;
  milliseconds Left{0};
};

/// How requests, answers and errors are worded, apart from all decisions.
template <typename T>
concept message_dialect = requires(const T Dialect, const attempt_words &Words,
                                   const backend_response_head &Head,
                                   std::string_view Name, error_kind Kind,
                                   milliseconds Pause) {
  /// What the answer to the attempt has to be marked with.
  { Dialect.attemptMark(Words) } -> std::same_as<std::string>;
  /// Fields for a backend server.
  { Dialect.serverFields(Words) } -> std::same_as<std::vector<header_field>>;
  /// Judges an answer's head; see classifyResponse.
  {
    Dialect.judge(Head, Name, bool{})
    } -> std::same_as<response_classification>;
  /// The head that a caller gets for a backend server's or a peer's answer.
  { Dialect.callerHead(Head, bool{}) } -> std::same_as<response_head>;
  /// The head that tells a caller of an error, with the time after which
  /// another try may succeed; 0 for what the error's kind says.
  { Dialect.errorResponseHead(Kind, Pause) } -> std::same_as<response_head>;
  /// Whether an answer may end with its connection.
  { T::AcceptsUnframed } -> std::convertible_to<bool>;
};

/// The fleet's own interface; docs/INTERFACES.md describes it.
struct own_dialect {
  static constexpr bool AcceptsUnframed = false;

  static std::string attemptMark(const attempt_words &Words) {
    return attemptName(Words.Sender, Words.Id);
  }
  static std::vector<header_field> serverFields(const attempt_words &Words) {
    return endiverail::serverFields(Words.Sender, Words.Request, Words.Id,
                                    Words.Left);
  }
  static response_classification judge(const backend_response_head &Head,
                                       std::string_view Mark, bool MayRetry) {
    return classifyResponse(Head, Mark, MayRetry);
  }
  static response_head callerHead(const backend_response_head &Head,
                                  bool FromPeer) {
    return endiverail::callerHead(Head, FromPeer);
  }
  static response_head errorResponseHead(error_kind Kind, milliseconds) {
    return endiverail::errorResponseHead(Kind);
  }
};
static_assert(message_dialect<own_dialect>);

} // namespace endiverail
