#include "connection/caller_connection.h"

#include <utility>

namespace endiverail {

result<void> caller_connection::receive(std::string_view Bytes,
                                        request_arrival Arrived) {
  if (Buffer.size() + Bytes.size() > Limits.HeadBytes + Limits.BodyBytes)
    return fail(error_kind::BodyTooLarge,
                "too much data sent ahead of the response");
  if (Buffer.empty())
    FirstArrival = Arrived;
  LastArrival = Arrived;
  Buffer.append(Bytes);
  return {};
}

result<std::optional<request_frame>> caller_connection::pendingFrame() const {
  if (InProgress || Buffer.empty())
    return std::optional<request_frame>{};
  return frameRequest(Buffer, Limits);
}

result<std::optional<received_request>> caller_connection::takeRequest() {
  BOOST_LEAF_AUTO(Frame, pendingFrame());
  if (!Frame || Buffer.size() < Frame->size())
    return std::optional<received_request>{};
  if (Frame->Chunked)
    return takeChunkedRequest(std::move(*Frame));
  InProgress = true;
  ++LastSequence;
  std::string Remainder = Buffer.substr(Frame->size());
  Buffer.resize(Frame->size());
  Buffer.erase(0, Frame->HeadBytes);
  std::optional<received_request> Request;
  Request.emplace(received_request{LastSequence, std::move(*Frame),
                                   std::exchange(Buffer, std::move(Remainder)),
                                   std::exchange(FirstArrival, LastArrival)});
  return Request;
}

result<std::optional<received_request>>
caller_connection::takeChunkedRequest(request_frame Frame) {
  std::string_view AfterHead = std::string_view(Buffer).substr(Frame.HeadBytes);
  BOOST_LEAF_AUTO(Read, readChunkedBody(AfterHead, Limits));
  if (!Read)
    return std::optional<received_request>{};
  InProgress = true;
  ++LastSequence;
  Buffer.erase(0, Frame.HeadBytes + Read->EncodedBytes);
  Frame.BodyBytes = Read->Body.size();
  std::optional<received_request> Request;
  Request.emplace(received_request{LastSequence, std::move(Frame),
                                   std::move(Read->Body),
                                   std::exchange(FirstArrival, LastArrival)});
  return Request;
}

} // namespace endiverail
