#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace endiverail {

/// The header by which load and stand-ins tell requests apart.
inline constexpr std::string_view RequestIdHeader = "X-Request-Id";

/// Bytes \p From to \p From + \p Size of the only right answer to a request:
/// it depends on the request's identity, so that a swapped or cut answer shows.
std::string answerContent(std::string_view RequestId, std::uint64_t From,
                          std::size_t Size);

} // namespace endiverail
