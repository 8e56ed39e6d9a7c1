#include "standin/answer_content.h"

#include "base/hash.h"

#include <algorithm>

namespace endiverail {

std::string answerContent(std::string_view RequestId, std::uint64_t From,
                          std::size_t Size) {
  constexpr std::uint64_t BlockBytes = 16;
  constexpr std::string_view Digits = "0123456789abcdef";
  const std::uint64_t Identity = stableHash(RequestId);
  std::string Content;
  Content.reserve(Size + BlockBytes);
  std::uint64_t Block = From / BlockBytes;
  const std::size_t Skip = From % BlockBytes;
  while (Content.size() < Size + Skip) {
    std::uint64_t Word = mixHashes(Identity, Block++);
    for (std::uint64_t Digit = 0; Digit < BlockBytes; ++Digit)
      Content += Digits[(Word >> (4 * Digit)) & 0xf];
  }
  return Content.substr(Skip, Size);
}

} // namespace endiverail
