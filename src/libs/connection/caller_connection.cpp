#include "connection/caller_connection.h"

#include <algorithm>
#include <utility>

namespace endiverail {
namespace {

/// An assignment would keep the capacity.
void freeMemory(std::string &Text) { std::string().swap(Text); }

} // namespace

result<void> caller_connection::receive(std::string_view Bytes,
                                        request_arrival Arrived) {
  if (unreadBytes() + Bytes.size() > Limits.HeadBytes + Limits.BodyBytes)
    return fail(error_kind::BodyTooLarge,
                "too much data sent ahead of the response");
  if (!hasBytes())
    FirstArrival = Arrived;
  LastArrival = Arrived;
  Buffer.append(Bytes);
  return {};
}

result<const request_frame *> caller_connection::pendingFrame() {
  if (InProgress)
    return nullptr;
  if (Frame)
    return &*Frame;
  constexpr std::string_view HeadEnd = "\r\n\r\n";
  std::size_t From = Searched - std::min(Searched, HeadEnd.size() - 1);
  bool HasEnd = unread().find(HeadEnd, From) != std::string_view::npos;
  Searched = unreadBytes();
  if (!HasEnd && Searched < Limits.HeadBytes)
    return nullptr;
  BOOST_LEAF_ASSIGN(Frame, frameRequest(unread(), Limits));
  if (!Frame)
    return nullptr;
  markDecoded(Frame->HeadBytes);
  if (Frame->Chunked)
    Decoder.emplace(Limits);
  return &*Frame;
}

result<bool> caller_connection::decodeBody() {
  if (Decoder) {
    BOOST_LEAF_AUTO(Used, Decoder->decode(unread(), Body));
    markDecoded(Used);
    return Decoder->complete();
  }
  std::string_view Rest = unread().substr(0, Frame->BodyBytes - Body.size());
  Body.append(Rest);
  markDecoded(Rest.size());
  return Body.size() == Frame->BodyBytes;
}

result<std::optional<received_request>> caller_connection::takeRequest() {
  BOOST_LEAF_AUTO(Pending, pendingFrame());
  if (!Pending)
    return std::optional<received_request>{};
  BOOST_LEAF_AUTO(Complete, decodeBody());
  if (!Complete)
    return std::optional<received_request>{};
  InProgress = true;
  ++LastSequence;
  Frame->BodyBytes = Body.size();
  std::optional<received_request> Request;
  Request.emplace(received_request{LastSequence, std::move(*Frame),
                                   std::exchange(Body, std::string()),
                                   std::exchange(FirstArrival, LastArrival)});
  Frame.reset();
  Decoder.reset();
  return Request;
}

void caller_connection::discardBytes() {
  freeMemory(Buffer);
  freeMemory(Body);
  Decoded = 0;
  Searched = 0;
  Frame.reset();
  Decoder.reset();
}

void caller_connection::markDecoded(std::size_t Bytes) {
  Decoded += Bytes;
  Searched = 0;
  if (Decoded == Buffer.size()) {
    // An idle connection keeps no buffer.
    freeMemory(Buffer);
    Decoded = 0;
    return;
  }
  // Erasing less often keeps the work for each byte constant.
  if (Decoded < Buffer.size() - Decoded)
    return;
  Buffer.erase(0, Decoded);
  Decoded = 0;
}

} // namespace endiverail
