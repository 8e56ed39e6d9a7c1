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

/// The result of an attempt. Without a failure, the response is complete.
struct attempt_end {
  std::optional<attempt_failure> Failure;
  std::string Detail;
  /// The observer did not permit the start; nothing was sent.
  bool Withdrawn = false;
  /// The attempt was sent on a connection that earlier attempts have used. The
  /// server may have closed it before the request arrived.
  bool ReusedConnection = false;
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
