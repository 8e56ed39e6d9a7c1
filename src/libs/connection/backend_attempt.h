#pragma once

#include "connection/backend_connection.h"
#include "request/attempt_policy.h"
#include "request/caller_request.h"
#include "version/fleet_view.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace endiverail {

/// Unique within a traffic thread.
using attempt_id = std::uint64_t;

/// One sending of a request to a backend server or a peer. The views live
/// until the attempt has ended.
struct attempt_request {
  attempt_id Id = 0;
  std::string_view Server;
  std::string_view Method;
  std::string_view Target;
  std::span<const header_field> Headers;
  std::string_view Body;
  connection_choice Connection = connection_choice::Fresh;
  milliseconds Timeout{0};
  /// Whether the answer may have no length and end with its connection.
  bool AcceptsUnframed = false;
};

/// The head of a backend server's answer.
struct backend_response_head {
  int Status = 0;
  std::vector<header_field> Headers;
  std::optional<std::uint64_t> Length;
};

/// How an attempt ended; no failure means that the answer is whole.
struct attempt_end {
  std::optional<attempt_failure> Failure;
  std::string Detail;
  /// The observer did not let it start; nothing was sent.
  bool Withdrawn = false;
};

/// What hears of attempts, on the thread of the transport.
template <typename T>
concept attempt_observer = requires(T Observer, attempt_id Id,
                                    backend_response_head Head,
                                    std::string_view Piece,
                                    const attempt_end &End) {
  /// Asked when the connection is there, before the first byte is sent: the
  /// backend server may have been told to get no more work meanwhile.
  { Observer.mayStart(Id) } -> std::same_as<bool>;
  /// A value ends the attempt with that error.
  {
    Observer.onHead(Id, std::move(Head))
    } -> std::same_as<std::optional<error_kind>>;
  /// False leaves the piece for later: the attempt pauses until resumed.
  { Observer.onBodyData(Id, Piece) } -> std::same_as<bool>;
  {Observer.onEnd(Id, End)};
};

/// What carries attempts.
template <typename T>
concept backend_transport = requires(T Transport,
                                     const attempt_request &Request,
                                     attempt_id Id) {
  {Transport.start(Request)};
  {Transport.resume(Id)};
  /// Ends the attempt without a report; a running one is cut off.
  {Transport.cancel(Id)};
};

} // namespace endiverail
