#include "request/message_fields.h"

#include "base/text.h"

#include <algorithm>
#include <array>
#include <iterator>

namespace endiverail {
namespace {

constexpr std::array<std::string_view, 10> HopByHopFields{"Connection",
                                                          "Keep-Alive",
                                                          "Proxy-Authenticate",
                                                          "Proxy-Authorization",
                                                          "TE",
                                                          "Transfer-Encoding",
                                                          "Trailer",
                                                          "Upgrade",
                                                          "Content-Length",
                                                          "Expect"};
constexpr std::string_view FleetPrefix = "Endiverail-";

} // namespace

bool isHopByHop(std::string_view Name, std::span<const header_field> Fields) {
  auto IsName = [&](std::string_view Other) {
    return equalIgnoringCase(Name, trimmed(Other));
  };
  return std::ranges::any_of(HopByHopFields, IsName) ||
         std::ranges::any_of(Fields, [&](const header_field &Field) {
           return equalIgnoringCase(Field.Name, "Connection") &&
                  std::ranges::any_of(split(Field.Value, ','), IsName);
         });
}

bool isFleetField(std::string_view Name) {
  return equalIgnoringCase(Name.substr(0, FleetPrefix.size()), FleetPrefix);
}

std::vector<header_field> endToEndFields(std::span<const header_field> Fields) {
  std::vector<header_field> Kept;
  std::ranges::copy_if(
      Fields, std::back_inserter(Kept), [&](const header_field &Field) {
        return !isHopByHop(Field.Name, Fields) && !isFleetField(Field.Name);
      });
  return Kept;
}

} // namespace endiverail
