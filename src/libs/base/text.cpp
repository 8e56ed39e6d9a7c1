#include "base/text.h"

#include <algorithm>
#include <charconv>

namespace endiverail {
namespace {

char lower(char Letter) {
  return Letter >= 'A' && Letter <= 'Z' ? static_cast<char>(Letter + 32)
                                        : Letter;
}

} // namespace

bool equalIgnoringCase(std::string_view Left, std::string_view Right) {
  return std::ranges::equal(Left, Right, {}, lower, lower);
}

std::string_view trimmed(std::string_view Text) {
  constexpr std::string_view Blanks = " \t";
  std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

std::vector<std::string_view> split(std::string_view Text, char Separator) {
  std::vector<std::string_view> Parts;
  std::size_t From = 0;
  for (std::size_t At = Text.find(Separator); At != std::string_view::npos;
       At = Text.find(Separator, From)) {
    Parts.push_back(Text.substr(From, At - From));
    From = At + 1;
  }
  Parts.push_back(Text.substr(From));
  return Parts;
}

bool isToken(std::string_view Text) {
  constexpr std::string_view Punctuation = "!#$%&'*+-.^_`|~";
  return !Text.empty() && std::ranges::all_of(Text, [&](char Character) {
    return (Character >= '0' && Character <= '9') ||
           (Character >= 'a' && Character <= 'z') ||
           (Character >= 'A' && Character <= 'Z') ||
           Punctuation.find(Character) != std::string_view::npos;
  });
}

bool hasNoControlCharacters(std::string_view Text) {
  return std::ranges::none_of(Text, [](unsigned char Character) {
    return (Character < ' ' && Character != '\t') || Character == 0x7f;
  });
}

std::optional<std::uint64_t> parseDecimal(std::string_view Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  auto [Stop, Error] = std::from_chars(Text.data(), End, Value);
  if (Text.empty() || Error != std::errc() || Stop != End)
    return std::nullopt;
  return Value;
}

bool isEndpoint(std::string_view Text) {
  auto Parts = split(Text, ':');
  if (Parts.size() != 2)
    return false;
  auto Port = parseDecimal(Parts[1]);
  auto Bytes = split(Parts[0], '.');
  return Port && *Port > 0 && *Port < 65'536 && Bytes.size() == 4 &&
         std::ranges::all_of(Bytes, [](std::string_view Byte) {
           auto Value = parseDecimal(Byte);
           return Value && *Value < 256;
         });
}

std::pair<std::string, std::uint16_t> splitEndpoint(std::string_view Endpoint) {
  auto Parts = split(Endpoint, ':');
  return {std::string(Parts.front()),
          static_cast<std::uint16_t>(parseDecimal(Parts.back()).value_or(0))};
}

} // namespace endiverail
