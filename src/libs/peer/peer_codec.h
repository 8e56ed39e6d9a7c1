#pragma once

#include "process/control_message.h"
#include "process/copy_requester.h"

#include <string>
#include <string_view>

namespace endiverail {

/// Encodes what proxies say to each other by Thrift's compact protocol and
/// seals it with the fleet's secret, so that a stranger can neither read a
/// reply to a pull nor place anything. Decoding fails with BadSignature when
/// the seal does not fit, with BadRecord when the content does not.
class peer_codec {
public:
  explicit peer_codec(std::string FleetSecret)
      : FleetSecret(std::move(FleetSecret)) {}

  std::string encode(const peer_message &Message) const;
  std::string encode(const pull_request &Request) const;
  std::string encode(const pull_reply &Reply) const;
  std::string encode(const key_hand_over &HandOver) const;
  std::string encode(const fleet_copy &Copy) const;

  result<peer_message> decodeMessage(std::string_view Bytes) const;
  result<pull_request> decodeRequest(std::string_view Bytes) const;
  result<pull_reply> decodeReply(std::string_view Bytes) const;
  result<key_hand_over> decodeHandOver(std::string_view Bytes) const;
  result<fleet_copy> decodeCopy(std::string_view Bytes) const;

private:
  std::string FleetSecret;
};

/// Largest datagram that is sent or taken, in bytes.
inline constexpr std::size_t MostDatagramBytes = 16'384;

} // namespace endiverail
