#include "process/idempotency_key.h"

#include "base/hash.h"
#include "base/text.h"

namespace endiverail {
namespace {

constexpr char Separator = '~';
constexpr std::size_t MacBytes = 8;

std::string shortMac(std::string_view Secret, std::string_view Text) {
  std::string Mac = hmacSha256(Secret, Text).substr(0, MacBytes);
  return toHex(
      {reinterpret_cast<const std::uint8_t *>(Mac.data()), Mac.size()});
}

std::string join(std::initializer_list<std::string_view> Parts) {
  std::string Text;
  for (std::string_view Part : Parts) {
    if (!Text.empty())
      Text += Separator;
    Text += Part;
  }
  return Text;
}

std::string signedHopText(std::string_view ProxyId, std::string_view Method,
                          std::string_view Target) {
  return join({"hop", ProxyId, Method, Target});
}

} // namespace

std::string idempotency_key::issuePrefix(const proxy_incarnation &Issuer,
                                         wall_time Issued,
                                         std::string_view Nonce,
                                         std::string_view FleetSecret) {
  std::string Text =
      join({Issuer.ProxyId, std::to_string(Issuer.Incarnation),
            std::to_string(Issued.time_since_epoch().count()), Nonce});
  return join({Text, shortMac(FleetSecret, "key" + Text)});
}

std::optional<idempotency_key>
idempotency_key::parse(std::string_view Key, std::string_view FleetSecret) {
  auto Parts = split(Key, Separator);
  if (Parts.size() != 6 || Parts[5].empty())
    return std::nullopt;
  auto Incarnation = parseDecimal(Parts[1]);
  auto Issued = parseDecimal(Parts[2]);
  std::string Text = join({Parts[0], Parts[1], Parts[2], Parts[3]});
  if (!Incarnation || !Issued ||
      !equalConstantTime(Parts[4], shortMac(FleetSecret, "key" + Text)))
    return std::nullopt;
  return idempotency_key{{std::string(Parts[0]), *Incarnation},
                         wall_time(milliseconds(*Issued))};
}

std::string hopToken(std::string_view ProxyId, std::string_view Method,
                     std::string_view Target, std::string_view FleetSecret) {
  return join(
      {ProxyId, shortMac(FleetSecret, signedHopText(ProxyId, Method, Target))});
}

bool verifyHopToken(std::string_view Token, std::string_view Method,
                    std::string_view Target, std::string_view FleetSecret) {
  auto Parts = split(Token, Separator);
  return Parts.size() == 2 &&
         equalConstantTime(
             Parts[1],
             shortMac(FleetSecret, signedHopText(Parts[0], Method, Target)));
}

} // namespace endiverail
