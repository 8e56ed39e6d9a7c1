#pragma once

#include "request/caller_request.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

struct framing_limits {
  std::size_t HeadBytes = std::size_t{16} * 1024;
  std::size_t BodyBytes = std::size_t{1024} * 1024;
  /// Whether a body may come in chunks.
  bool AcceptsChunked = false;
};

/// Where one request lies at the start of a connection's bytes.
struct request_frame {
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  std::string Method;
  /// Path with query, as the caller wrote it.
  std::string Target;
  /// In the caller's order; a name may stand more than once.
  std::vector<header_field> Fields;
  /// The caller wants "100 Continue" before it sends the body.
  bool ExpectsContinue = false;
  bool KeepAlive = true;
  /// HTTP/1.0 callers can't read chunks.
  bool SupportsChunked = true;
  /// The body comes in chunks, so BodyBytes does not tell its size.
  bool Chunked = false;

  std::size_t size() const { return HeadBytes + BodyBytes; }
};

/// Finds the bounds of the first request in \p Bytes, or nothing while its
/// head is incomplete. Whatever two readers could understand differently is
/// refused: two lengths, a length with chunks, bare line feeds, folded lines,
/// blanks around field names. Fails with BadRequest, HeadTooLarge,
/// BodyTooLarge, LengthRequired or MethodNotSupported.
result<std::optional<request_frame>> frameRequest(std::string_view Bytes,
                                                  const framing_limits &Limits);

/// A body that came in chunks.
struct chunked_body {
  /// Bytes that it took on the connection, trailer included.
  std::size_t EncodedBytes = 0;
  std::string Body;
};

/// Reads the chunks at the start of \p Bytes, or nothing while the last one is
/// not there. Fails with BadRequest, or with BodyTooLarge when the chunks or
/// the trailer pass \p Limits.
result<std::optional<chunked_body>>
readChunkedBody(std::string_view Bytes, const framing_limits &Limits);

} // namespace endiverail
