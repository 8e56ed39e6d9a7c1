#pragma once

#include "request/caller_request.h"

#include <cstddef>
#include <cstdint>

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
    HasLength = HasBody && Head.Length;
    MissingBytes = HasLength ? *Head.Length : 0;
    return true;
  }

  bool add(std::size_t Bytes) {
    if (!Begun || (HasLength && Bytes > MissingBytes))
      return false;
    if (HasLength)
      MissingBytes -= Bytes;
    return true;
  }

  bool end() const { return Begun && MissingBytes == 0; }

  /// Whether bytes of the body are written to the caller.
  bool hasBody() const { return HasBody; }

private:
  bool ToHead = false;
  bool Begun = false;
  bool HasBody = false;
  bool HasLength = false;
  std::uint64_t MissingBytes = 0;
};

} // namespace endiverail
