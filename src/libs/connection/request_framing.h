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

/// Decodes one chunked body from pieces of any size. Each byte is looked at
/// once, and only the line of a chunk's size or of the trailer is kept.
class chunked_decoder {
public:
  explicit chunked_decoder(const framing_limits &Limits) : Limits(Limits) {}

  /// Appends the data of the chunks in \p Bytes to \p Body and returns how many
  /// bytes were used: all of them until the body is complete. Fails with
  /// BadRequest, or with BodyTooLarge if the chunks or the trailer exceed the
  /// limits; then the decoder must not be used again.
  result<std::size_t> decode(std::string_view Bytes, std::string &Body);

  bool complete() const { return Next == part::Nothing; }

private:
  enum class part { Size, Data, DataEnd, Trailer, Nothing };

  result<std::size_t> decodePart(std::string_view Bytes, std::string &Body);
  result<std::size_t> decodeSize(std::string_view Bytes, std::size_t BodyBytes);
  std::size_t decodeData(std::string_view Bytes, std::string &Body);
  result<std::size_t> decodeDataEnd(char Byte);
  result<std::size_t> decodeTrailer(std::string_view Bytes);
  result<std::size_t> readLine(std::string_view Bytes, std::size_t MaxBytes);
  bool lineComplete() const;

  framing_limits Limits;
  part Next = part::Size;
  /// Of the current chunk's data, or of the line break behind it.
  std::size_t BytesLeft = 0;
  std::size_t TrailerBytes = 0;
  /// With its line break, as far as it is there.
  std::string Line;
};

/// A decoded chunked body.
struct chunked_body {
  /// Encoded size on the connection, including the trailer.
  std::size_t EncodedBytes = 0;
  std::string Body;
};

/// Decodes the chunked body at the start of \p Bytes. Returns nullopt while it
/// is incomplete. Fails like chunked_decoder.
result<std::optional<chunked_body>>
readChunkedBody(std::string_view Bytes, const framing_limits &Limits);

} // namespace endiverail
