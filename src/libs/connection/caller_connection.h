#pragma once

#include "base/time.h"
#include "connection/request_framing.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace endiverail {

/// A request cut out of a caller's connection.
struct received_request {
  std::uint64_t Sequence = 0;
  request_frame Frame;
  std::string Body;
};

/// What one caller's connection has received and what it is owed. It admits
/// one request at a time: a pipelined one waits until the answer before it is
/// written, so that answers can neither overtake nor meet the wrong request.
class caller_connection {
public:
  explicit caller_connection(framing_limits Limits) : Limits(Limits) {}

  /// Adds bytes as they come. Fails with BodyTooLarge when a caller sends
  /// more ahead than one request may hold.
  result<void> receive(std::string_view Bytes);

  /// The frame whose head is here but whose body is not, while no request is
  /// in progress. Fails like frameRequest.
  result<std::optional<request_frame>> pendingFrame() const;

  /// Cuts out the next request if it is whole and none is in progress.
  result<std::optional<received_request>> takeRequest();

  /// Whether an answer to \p Sequence may be written now.
  bool awaitsResponse(std::uint64_t Sequence) const {
    return InProgress && Sequence == LastSequence;
  }

  /// The answer in progress is written; the next request may be taken.
  void finishResponse() { InProgress = false; }

  bool inProgress() const { return InProgress; }
  std::uint64_t lastSequence() const { return LastSequence; }
  bool hasBytes() const { return !Buffer.empty(); }

private:
  result<std::optional<received_request>>
  takeChunkedRequest(request_frame Frame);

  framing_limits Limits;
  std::string Buffer;
  std::uint64_t LastSequence = 0;
  bool InProgress = false;
};

} // namespace endiverail
