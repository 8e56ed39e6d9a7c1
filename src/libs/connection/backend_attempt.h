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

/// One attempt to send a request to a backend server or a peer. The views must
/// remain valid until the attempt has ended.
struct attempt_request {
  attempt_id Id = 0;
  std::string_view Server;
  std::string_view Method;
  std::string_view Target;
  std::span<const header_field> Headers;
  std::string_view Body;
  connection_choice Connection = connection_choice::Fresh;
  milliseconds Timeout{0};
  /// Whether a response without a length, delimited by the end of the
  /// connection, is accepted.
  bool AcceptsUnframed = false;
};

/// The head of a backend server's response.
struct backend_response_head {
  int Status = 0;
  std::vector<header_field> Headers;
  std::optional<std::uint64_t> Length;
};

/// The connection that an attempt was sent on.
struct attempt_connection {
  /// Unique within a transport; 0 if the attempt was not sent.
  std::uint64_t Number = 0;
  /// Number of attempts that were sent on it before.
  std::size_t EarlierAttempts = 0;
  /// Time since the first of them.
  milliseconds Age{0};
  /// Bytes that had arrived on it before this attempt was sent, which belong to
  /// no request; no more than MaxUnaskedBytes are counted.
  std::size_t UnaskedBytes = 0;

  static constexpr std::size_t MaxUnaskedBytes = 1'024;

  /// The server may have closed the connection before the request arrived.
  bool reused() const { return EarlierAttempts > 0; }
};

/// The result of an attempt. Without a failure, the response is complete.
struct attempt_end {
  std::optional<attempt_failure> Failure;
  std::string Detail;
  /// The observer did not permit the start; nothing was sent.
  bool Withdrawn = false;
  attempt_connection Connection{};
  /// A kept connection that was closed unused, because bytes of no request lay
  /// on it. The attempt was sent on another one.
  std::optional<attempt_connection> Discarded{};
};

/// Receives the events of attempts on the thread of the transport.
template <typename T>
concept attempt_observer = requires(T Observer, attempt_id Id,
                                    backend_response_head Head,
                                    std::string_view Piece,
                                    const attempt_end &End) {
  /// Called when the connection is established, before the first byte is sent:
  /// the backend server may have been taken out of use in the meantime.
  { Observer.mayStart(Id) } -> std::same_as<bool>;
  /// Returning an error ends the attempt with it.
  {
    Observer.onHead(Id, std::move(Head))
    } -> std::same_as<std::optional<error_kind>>;
  /// Returning false leaves the data unconsumed and pauses the attempt until it
  /// is resumed.
  { Observer.onBodyData(Id, Piece) } -> std::same_as<bool>;
  {Observer.onEnd(Id, End)};
};

/// Executes attempts.
template <typename T>
concept backend_transport = requires(T Transport,
                                     const attempt_request &Request,
                                     attempt_id Id) {
  {Transport.start(Request)};
  {Transport.resume(Id)};
  /// Ends the attempt without calling the observer; an active transfer is
  /// aborted.
  {Transport.cancel(Id)};
};

} // namespace endiverail
