#pragma once

#include "base/error_kind.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A path pattern: literal segments, `*` for one segment, and `**` at the end
/// for any number of segments, none included.
class path_pattern {
public:
  /// Fails with BadFile when \p Text is not a pattern.
  static result<path_pattern> create(std::string_view Text);

  /// Whether \p Path (without its query) fits the pattern.
  bool matches(std::string_view Path) const;

  std::string_view text() const { return Text; }

private:
  std::string Text;
  std::vector<std::string> Segments;
  bool OpenEnded = false;
};

/// The first segment of \p Path without slashes; empty for "/".
std::string_view firstSegment(std::string_view Path);

} // namespace endiverail
