#pragma once

#include "connection/response_classification.h"
#include "connection/response_message.h"
#include "process/attempt_fields.h"

#include <concepts>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Data of an attempt that goes into the request to a backend server.
struct attempt_context {
  const attempt_sender &Sender;
  const caller_request &Request;
  attempt_id Id = 0;
  /// Instance expected at the address, if known.
  std::string_view Instance;
  milliseconds TimeLeft{0};
};

/// Maps requests, responses and errors to header fields and status codes.
/// Contains no decisions on how requests are processed.
template <typename T>
concept message_dialect = requires(const T Dialect,
                                   const attempt_context &Context,
                                   const backend_response_head &Head,
                                   std::string_view Identifier, error_kind Kind,
                                   milliseconds Pause) {
  /// Identifier that the response to the attempt has to carry.
  { Dialect.expectedIdentifier(Context) } -> std::same_as<std::string>;
  /// Header fields for a backend server.
  { Dialect.serverFields(Context) } -> std::same_as<std::vector<header_field>>;
  /// Classifies the head of a response by the contract with backend servers.
  {
    Dialect.classify(Head, Identifier, bool{})
    } -> std::same_as<response_classification>;
  /// Converts the head of a backend server's or a peer's response for the
  /// caller.
  { Dialect.callerHead(Head, bool{}) } -> std::same_as<response_head>;
  /// Head of an error response, with the time after which the caller may retry;
  /// 0 selects the default of the error kind.
  { Dialect.errorResponseHead(Kind, Pause) } -> std::same_as<response_head>;
  /// Whether the end of the connection may mark the end of a response.
  { T::AcceptsUnframed } -> std::convertible_to<bool>;
};

/// The fleet's own HTTP interface, described in docs/INTERFACES.md.
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
  static response_classification classify(const backend_response_head &Head,
                                          std::string_view Identifier,
                                          bool MayRetry) {
    return classifyResponse(Head, Identifier, MayRetry);
  }
  static response_head callerHead(const backend_response_head &Head,
                                  bool FromPeer) {
    return endiverail::callerHead(Head, FromPeer);
  }
  static response_head errorResponseHead(error_kind Kind, milliseconds) {
    return endiverail::errorResponseHead(Kind);
  }
};
static_assert(message_dialect<fleet_dialect>);

} // namespace endiverail
