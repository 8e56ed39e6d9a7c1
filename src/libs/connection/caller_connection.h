#pragma once

#include "base/time.h"
#include "connection/request_framing.h"
#include "request/request_arrival.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiverail {

/// A complete request received on a caller's connection.
struct received_request {
  std::uint64_t Sequence = 0;
  request_frame Frame;
  std::string Body;
  request_arrival Arrival{};
};

/// Receive buffer and response state of a caller's connection. Only one request
/// is in progress at a time: a pipelined request waits until the response to
/// its predecessor has been written, so that responses can neither overtake
/// each other nor be matched to the wrong request.
class caller_connection {
public:
  explicit caller_connection(framing_limits Limits) : Limits(Limits) {}

  /// Appends bytes that have reached this host at \p Arrived to the buffer.
  /// Fails with BodyTooLarge if a caller sends more data ahead than one request
  /// may contain.
  result<void> receive(std::string_view Bytes, request_arrival Arrived = {});

  /// Returns the frame of the next request once its head has been received, or
  /// nullopt while another request is in progress. Fails like frameRequest.
  result<std::optional<request_frame>> pendingFrame() const;

  /// Extracts the next request if it is complete and none is in progress.
  result<std::optional<received_request>> takeRequest();

  /// Returns whether a response to \p Sequence may be written now.
  bool awaitsResponse(std::uint64_t Sequence) const {
    return InProgress && Sequence == LastSequence;
  }

  /// Marks the current response as written, so that the next request may be
  /// taken.
  void finishResponse() { InProgress = false; }

  bool inProgress() const { return InProgress; }
  std::uint64_t lastSequence() const { return LastSequence; }
  bool hasBytes() const { return !Buffer.empty(); }

private:
  result<std::optional<received_request>>
  takeChunkedRequest(request_frame Frame);

  framing_limits Limits;
  std::string Buffer;
  /// Arrival of the first and of the last bytes in the buffer.
  request_arrival FirstArrival;
  request_arrival LastArrival;
  std::uint64_t LastSequence = 0;
  bool InProgress = false;
};

} // namespace endiverail
