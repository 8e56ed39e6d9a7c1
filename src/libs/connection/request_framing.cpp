#include "connection/request_framing.h"

#include "base/text.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace endiverail {
namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr std::string_view HeadEnd = "\r\n\r\n";
/// Limit for the size and extensions of a chunk; those written by this project
/// and by libcurl are much shorter.
constexpr std::size_t MaxChunkLineBytes = 256;
constexpr int HexadecimalBase = 16;
constexpr std::array<std::string_view, 6> Methods{"GET", "HEAD",  "POST",
                                                  "PUT", "PATCH", "DELETE"};

struct framing_fields {
  std::optional<std::string_view> Length;
  std::optional<std::string_view> TransferEncoding;
};

result<void> parseRequestLine(std::string_view Line, request_frame &Frame) {
  auto Parts = split(Line, ' ');
  if (Parts.size() != 3 || !isToken(Parts[0]) ||
      !hasNoControlCharacters(Parts[1]) || !Parts[1].starts_with('/'))
    return fail(error_kind::BadRequest, "malformed request line");
  if (Parts[2] != "HTTP/1.1" && Parts[2] != "HTTP/1.0")
    return fail(error_kind::BadRequest, "unsupported protocol version");
  if (std::ranges::find(Methods, Parts[0]) == Methods.end())
    return fail(error_kind::MethodNotSupported, "unsupported method");
  Frame.Method = Parts[0];
  Frame.Target = Parts[1];
  Frame.SupportsChunked = Parts[2] == "HTTP/1.1";
  Frame.KeepAlive = Frame.SupportsChunked;
  return {};
}

result<void> parseField(std::string_view Line, request_frame &Frame,
                        framing_fields &Framing) {
  std::size_t Colon = Line.find(':');
  if (Colon == std::string_view::npos || !isToken(Line.substr(0, Colon)))
    return fail(error_kind::BadRequest, "malformed header field");
  std::string_view Name = Line.substr(0, Colon);
  std::string_view Value = trimmed(Line.substr(Colon + 1));
  if (!hasNoControlCharacters(Value))
    return fail(error_kind::BadRequest, "control character in a header field");
  if (equalIgnoringCase(Name, "Content-Length")) {
    if (Framing.Length)
      return fail(error_kind::BadRequest, "two Content-Length fields");
    Framing.Length = Value;
  }
  if (equalIgnoringCase(Name, "Transfer-Encoding")) {
    if (Framing.TransferEncoding)
      return fail(error_kind::BadRequest, "two Transfer-Encoding fields");
    Framing.TransferEncoding = Value;
  }
  // An HTTP/1.0 caller takes an interim response for the final one.
  if (equalIgnoringCase(Name, "Expect"))
    Frame.ExpectsContinue =
        Frame.SupportsChunked && equalIgnoringCase(Value, "100-continue");
  if (equalIgnoringCase(Name, "Connection")) {
    if (equalIgnoringCase(Value, "close"))
      Frame.KeepAlive = false;
    if (equalIgnoringCase(Value, "keep-alive"))
      Frame.KeepAlive = true;
  }
  Frame.Fields.push_back({std::string(Name), std::string(Value)});
  return {};
}

result<void> applyBodyLength(const framing_fields &Framing,
                             const framing_limits &Limits,
                             request_frame &Frame) {
  if (Framing.TransferEncoding && Framing.Length)
    return fail(error_kind::BadRequest,
                "Content-Length together with Transfer-Encoding");
  if (Framing.TransferEncoding && !Limits.AcceptsChunked)
    return fail(error_kind::LengthRequired,
                "chunked bodies are not accepted; send a Content-Length");
  if (Framing.TransferEncoding &&
      (!equalIgnoringCase(*Framing.TransferEncoding, "chunked") ||
       !Frame.SupportsChunked))
    return fail(error_kind::BadRequest, "unsupported Transfer-Encoding");
  Frame.Chunked = Framing.TransferEncoding.has_value();
  if (!Framing.Length)
    return {};
  auto Length = parseDecimal(*Framing.Length);
  if (!Length)
    return fail(error_kind::BadRequest, "malformed Content-Length");
  if (*Length > Limits.BodyBytes)
    return fail(error_kind::BodyTooLarge, "request body too large");
  Frame.BodyBytes = *Length;
  return {};
}

/// Returns the line at the start of \p Bytes without its line break, or nullopt
/// while it is incomplete.
result<std::optional<std::string_view>> readLine(std::string_view Bytes,
                                                 std::size_t MaxBytes) {
  std::size_t End = Bytes.find(LineEnd);
  if (std::min(End, Bytes.size()) > MaxBytes)
    return fail(error_kind::BadRequest, "line too long in a chunked body");
  if (End == std::string_view::npos)
    return std::optional<std::string_view>{};
  return std::optional(Bytes.substr(0, End));
}

result<std::size_t> parseChunkSize(std::string_view Line) {
  std::string_view Digits = trimmed(Line.substr(0, Line.find(';')));
  std::size_t Size = 0;
  auto [Stop, Error] = std::from_chars(
      Digits.data(), Digits.data() + Digits.size(), Size, HexadecimalBase);
  if (Digits.empty() || Error != std::errc() ||
      Stop != Digits.data() + Digits.size())
    return fail(error_kind::BadRequest, "malformed chunk size");
  return Size;
}

/// Skips the trailer, as its fields are not used. Returns its size including
/// the empty line at the end, or nullopt while it is incomplete.
result<std::optional<std::size_t>> skipTrailer(std::string_view Bytes,
                                               std::size_t MaxBytes) {
  std::size_t Used = 0;
  while (true) {
    BOOST_LEAF_AUTO(Line, readLine(Bytes.substr(Used), MaxBytes));
    if (!Line)
      return std::optional<std::size_t>{};
    Used += Line->size() + LineEnd.size();
    if (Used > MaxBytes)
      return fail(error_kind::BodyTooLarge, "trailer too large");
    if (Line->empty())
      return std::optional(Used);
  }
}

} // namespace

result<std::optional<chunked_body>>
readChunkedBody(std::string_view Bytes, const framing_limits &Limits) {
  chunked_body Read;
  while (true) {
    BOOST_LEAF_AUTO(Line, readLine(Bytes, MaxChunkLineBytes));
    if (!Line)
      return std::optional<chunked_body>{};
    BOOST_LEAF_AUTO(Size, parseChunkSize(*Line));
    if (Size > Limits.BodyBytes - Read.Body.size())
      return fail(error_kind::BodyTooLarge, "request body too large");
    std::size_t LineBytes = Line->size() + LineEnd.size();
    Bytes.remove_prefix(LineBytes);
    Read.EncodedBytes += LineBytes;
    if (Size == 0)
      break;
    if (Bytes.size() < Size + LineEnd.size())
      return std::optional<chunked_body>{};
    if (Bytes.substr(Size, LineEnd.size()) != LineEnd)
      return fail(error_kind::BadRequest,
                  "a chunk is longer than its declared size");
    Read.Body.append(Bytes.substr(0, Size));
    Bytes.remove_prefix(Size + LineEnd.size());
    Read.EncodedBytes += Size + LineEnd.size();
  }
  BOOST_LEAF_AUTO(TrailerBytes, skipTrailer(Bytes, Limits.HeadBytes));
  if (!TrailerBytes)
    return std::optional<chunked_body>{};
  Read.EncodedBytes += *TrailerBytes;
  return std::optional(std::move(Read));
}

result<std::optional<request_frame>>
frameRequest(std::string_view Bytes, const framing_limits &Limits) {
  std::size_t End = Bytes.substr(0, Limits.HeadBytes).find(HeadEnd);
  if (End == std::string_view::npos) {
    if (Bytes.size() >= Limits.HeadBytes)
      return fail(error_kind::HeadTooLarge, "request head too large");
    return std::optional<request_frame>{};
  }

  request_frame Frame;
  Frame.HeadBytes = End + HeadEnd.size();
  std::string_view Head = Bytes.substr(0, End);
  std::size_t FirstEnd = std::min(Head.find(LineEnd), Head.size());
  BOOST_LEAF_CHECK(parseRequestLine(Head.substr(0, FirstEnd), Frame));

  framing_fields Framing;
  Head.remove_prefix(std::min(FirstEnd + LineEnd.size(), Head.size()));
  while (!Head.empty()) {
    std::size_t LineLength = std::min(Head.find(LineEnd), Head.size());
    BOOST_LEAF_CHECK(parseField(Head.substr(0, LineLength), Frame, Framing));
    Head.remove_prefix(std::min(LineLength + LineEnd.size(), Head.size()));
  }
  BOOST_LEAF_CHECK(applyBodyLength(Framing, Limits, Frame));
  return std::optional<request_frame>{Frame};
}

} // namespace endiverail
