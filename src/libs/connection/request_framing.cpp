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

} // namespace

result<std::size_t> chunked_decoder::decode(std::string_view Bytes,
                                            std::string &Body) {
  std::size_t Used = 0;
  while (!complete() && Used < Bytes.size()) {
    BOOST_LEAF_AUTO(PartBytes, decodePart(Bytes.substr(Used), Body));
    Used += PartBytes;
  }
  return Used;
}

result<std::size_t> chunked_decoder::decodePart(std::string_view Bytes,
                                                std::string &Body) {
  switch (Next) {
  case part::Size:
    return decodeSize(Bytes, Body.size());
  case part::Data:
    return decodeData(Bytes, Body);
  case part::DataEnd:
    return decodeDataEnd(Bytes.front());
  case part::Trailer:
    return decodeTrailer(Bytes);
  case part::Nothing:
    break;
  }
  return std::size_t{0};
}

result<std::size_t> chunked_decoder::decodeSize(std::string_view Bytes,
                                                std::size_t BodyBytes) {
  BOOST_LEAF_AUTO(Used, readLine(Bytes, MaxChunkLineBytes));
  if (!lineComplete())
    return Used;
  std::string_view Text(Line);
  Text.remove_suffix(LineEnd.size());
  BOOST_LEAF_ASSIGN(BytesLeft, parseChunkSize(Text));
  if (BytesLeft > Limits.BodyBytes - BodyBytes)
    return fail(error_kind::BodyTooLarge, "request body too large");
  Line.clear();
  Next = BytesLeft == 0 ? part::Trailer : part::Data;
  return Used;
}

std::size_t chunked_decoder::decodeData(std::string_view Bytes,
                                        std::string &Body) {
  std::string_view Data = Bytes.substr(0, BytesLeft);
  Body.append(Data);
  BytesLeft -= Data.size();
  if (BytesLeft == 0) {
    Next = part::DataEnd;
    BytesLeft = LineEnd.size();
  }
  return Data.size();
}

result<std::size_t> chunked_decoder::decodeDataEnd(char Byte) {
  if (Byte != LineEnd[LineEnd.size() - BytesLeft])
    return fail(error_kind::BadRequest,
                "a chunk is longer than its declared size");
  if (--BytesLeft == 0)
    Next = part::Size;
  return std::size_t{1};
}

/// Skips the trailer, as its fields are not used.
result<std::size_t> chunked_decoder::decodeTrailer(std::string_view Bytes) {
  BOOST_LEAF_AUTO(Used, readLine(Bytes, Limits.HeadBytes));
  if (!lineComplete())
    return Used;
  TrailerBytes += Line.size();
  if (TrailerBytes > Limits.HeadBytes)
    return fail(error_kind::BodyTooLarge, "trailer too large");
  if (Line == LineEnd)
    Next = part::Nothing;
  Line.clear();
  return Used;
}

/// Continues the line with the start of \p Bytes and returns how many of them
/// belong to it.
result<std::size_t> chunked_decoder::readLine(std::string_view Bytes,
                                              std::size_t MaxBytes) {
  std::string_view Rest =
      Bytes.substr(0, MaxBytes + LineEnd.size() - Line.size());
  std::size_t Feed = Rest.find(LineEnd.back());
  if (Feed != std::string_view::npos)
    Rest = Rest.substr(0, Feed + 1);
  Line.append(Rest);
  if (!lineComplete() &&
      Line.size() - (Line.ends_with(LineEnd.front()) ? 1 : 0) > MaxBytes)
    return fail(error_kind::BadRequest, "line too long in a chunked body");
  return Rest.size();
}

bool chunked_decoder::lineComplete() const { return Line.ends_with(LineEnd); }

result<std::optional<chunked_body>>
readChunkedBody(std::string_view Bytes, const framing_limits &Limits) {
  chunked_decoder Decoder(Limits);
  chunked_body Read;
  BOOST_LEAF_ASSIGN(Read.EncodedBytes, Decoder.decode(Bytes, Read.Body));
  if (!Decoder.complete())
    return std::optional<chunked_body>{};
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
