#pragma once

#include "request/caller_request.h"

#include <cstddef>
#include <cstdint>
#include <optional>

namespace endiverail {

/// Progress of the response to one request. Each function records a message of
/// the response and returns whether it fits the ones before it. The connection
/// of a response that does not fit must not be used again: the caller would
/// take the next response for the missing part, or the excess for the next
/// response.
class response_progress {
public:
  response_progress() = default;
  /// A response to HEAD has the length of a body but no body.
  explicit response_progress(bool ToHead) : ToHead(ToHead) {}

  bool begin(const response_head &Head) {
    if (Begun)
      return false;
    Begun = true;
    HasBody = !ToHead && mayHaveBody(Head.Status);
    if (HasBody)
      MissingBytes = Head.Length;
    return true;
  }

  bool add(std::size_t Bytes) {
    if (!Begun || (MissingBytes && Bytes > *MissingBytes))
      return false;
    if (MissingBytes)
      *MissingBytes -= Bytes;
    return true;
  }

  bool end() const { return Begun && MissingBytes.value_or(0) == 0; }

  /// Whether bytes of the body are written to the caller.
  bool hasBody() const { return HasBody; }

private:
  bool ToHead = false;
  bool Begun = false;
  bool HasBody = false;
  /// Unset if the length is not known in advance.
  std::optional<std::uint64_t> MissingBytes;
};

} // namespace endiverail
