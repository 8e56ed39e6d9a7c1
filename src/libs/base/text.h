#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace endiverail {

/// ASCII comparison without regard to case, as for HTTP field names.
bool equalIgnoringCase(std::string_view Left, std::string_view Right);

/// \p Text without spaces and tabs at its ends.
std::string_view trimmed(std::string_view Text);

/// The parts of \p Text between \p Separator, empty ones included.
std::vector<std::string_view> split(std::string_view Text, char Separator);

/// Whether \p Text is a token, as an HTTP field's name is one.
bool isToken(std::string_view Text);

/// Whether \p Text has no control characters except tabs, as an HTTP field's
/// value has none.
bool hasNoControlCharacters(std::string_view Text);

/// A decimal number without sign or blanks; nothing for any other text.
std::optional<std::uint64_t> parseDecimal(std::string_view Text);

/// Whether \p Text is an IPv4 address and a port as "a.b.c.d:port".
bool isEndpoint(std::string_view Text);

/// The host and the port of an endpoint.
std::pair<std::string, std::uint16_t> splitEndpoint(std::string_view Endpoint);

/// Lets associative containers of strings be searched by view.
struct text_hash {
  using is_transparent = void; // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view Text) const {
    return std::hash<std::string_view>{}(Text);
  }
};

} // namespace endiverail
