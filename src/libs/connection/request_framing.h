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
  /// Whether the chunked transfer coding is accepted.
  bool AcceptsChunked = false;
};

/// Parsed head and size of the request at the start of a connection's buffer.
struct request_frame {
  std::size_t HeadBytes = 0;
  std::size_t BodyBytes = 0;
  std::string Method;
  /// Path and query as sent by the caller.
  std::string Target;
  /// In the caller's order; names may be repeated.
  std::vector<header_field> Fields;
  /// The caller waits for "100 Continue" before it sends the body.
  bool ExpectsContinue = false;
  bool KeepAlive = true;
  /// HTTP/1.0 callers cannot decode the chunked transfer coding.
  bool SupportsChunked = true;
  /// The body is chunked, so BodyBytes does not contain its size.
  bool Chunked = false;

  std::size_t size() const { return HeadBytes + BodyBytes; }
};

/// Parses the head of the first request in \p Bytes. Returns nullopt while the
/// head is incomplete. To prevent request smuggling, everything that two
/// parsers could interpret differently is rejected: multiple lengths, a length
/// combined with the chunked coding, bare line feeds, folded lines, and
/// whitespace around field names. Fails with BadRequest, HeadTooLarge,
/// BodyTooLarge, LengthRequired or MethodNotSupported.
result<std::optional<request_frame>> frameRequest(std::string_view Bytes,
                                                  const framing_limits &Limits);

/// A decoded chunked body.
struct chunked_body {
  /// Encoded size on the connection, including the trailer.
  std::size_t EncodedBytes = 0;
  std::string Body;
};

/// Decodes the chunked body at the start of \p Bytes. Returns nullopt while it
/// is incomplete. Fails with BadRequest, or with BodyTooLarge if the chunks or
/// the trailer exceed \p Limits.
result<std::optional<chunked_body>>
readChunkedBody(std::string_view Bytes, const framing_limits &Limits);

} // namespace endiverail
