#pragma once

#include "base/error_kind.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A path pattern made of literal segments, `*` for exactly one segment, and a
/// trailing `**` for zero or more segments.
class path_pattern {
public:
  /// Fails with BadFile if \p Text is not a valid pattern.
  static result<path_pattern> create(std::string_view Text);

  /// Returns whether \p Path, which must not contain a query, matches the
  /// pattern.
  bool matches(std::string_view Path) const;

  std::string_view text() const { return Text; }

private:
  std::string Text;
  std::vector<std::string> Segments;
  bool OpenEnded = false;
};

/// Returns the first segment of \p Path without slashes; empty for "/".
std::string_view firstSegment(std::string_view Path);

} // namespace endiverail
