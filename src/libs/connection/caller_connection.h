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
  /// null while another request is in progress. The head is parsed once. Fails
  /// like frameRequest.
  result<const request_frame *> pendingFrame();

  /// Extracts the next request if it is complete and none is in progress. Fails
  /// like pendingFrame and chunked_decoder.
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
  /// Whether anything of the next request has been received.
  bool hasBytes() const { return unreadBytes() != 0 || Frame; }
  /// Bytes that are held and not decoded.
  std::size_t unreadBytes() const { return Buffer.size() - Decoded; }
  /// Bytes that are held of requests that are not complete.
  std::size_t heldBytes() const {
    return Buffer.size() + Body.size() + (Frame ? Frame->HeadBytes : 0);
  }

  /// Drops all that is held; the connection is only read to its end then.
  void discardBytes();

private:
  std::string_view unread() const {
    return std::string_view(Buffer).substr(Decoded);
  }
  void markDecoded(std::size_t Bytes);
  /// Moves what has come of the body from the buffer; returns whether the body
  /// is complete.
  result<bool> decodeBody();

  framing_limits Limits;
  std::string Buffer;
  /// Bytes at the start of the buffer that belong to the frame and the body.
  std::size_t Decoded = 0;
  /// Unread bytes that are known not to contain the end of a head.
  std::size_t Searched = 0;
  /// The request that is being received, once its head is there.
  std::optional<request_frame> Frame;
  std::optional<chunked_decoder> Decoder;
  std::string Body;
  /// Arrival of the first bytes of the next request and of the last bytes.
  request_arrival FirstArrival;
  request_arrival LastArrival;
  std::uint64_t LastSequence = 0;
  bool InProgress = false;
};

} // namespace endiverail
