#include "version/path_pattern.h"

#include "base/text.h"

#include <algorithm>
#include <ranges>

namespace endiverail {

result<path_pattern> path_pattern::create(std::string_view Text) {
  if (!Text.starts_with('/'))
    return fail(error_kind::BadFile, "a path pattern must start with '/'");
  path_pattern Pattern;
  Pattern.Text = Text;
  for (std::string_view Segment : split(Text.substr(1), '/'))
    Pattern.Segments.emplace_back(Segment);
  if (Pattern.Segments.back() == "**") {
    Pattern.OpenEnded = true;
    Pattern.Segments.pop_back();
  }
  if (std::ranges::any_of(Pattern.Segments, [](std::string_view Segment) {
        return Segment.find('*') != std::string_view::npos && Segment != "*";
      }))
    return fail(error_kind::BadFile,
                "'*' must be a whole segment; '**' is allowed only at the end");
  return Pattern;
}

bool path_pattern::matches(std::string_view Path) const {
  if (!Path.starts_with('/'))
    return false;
  std::vector<std::string_view> Parts = split(Path.substr(1), '/');
  bool LengthFits = OpenEnded ? Parts.size() >= Segments.size()
                              : Parts.size() == Segments.size();
  return LengthFits &&
         std::ranges::equal(Segments, Parts | std::views::take(Segments.size()),
                            [](std::string_view Wanted, std::string_view Part) {
                              return Wanted == "*" || Wanted == Part;
                            });
}

std::string_view firstSegment(std::string_view Path) {
  if (!Path.starts_with('/'))
    return {};
  Path.remove_prefix(1);
  return Path.substr(0, Path.find_first_of("/?"));
}

} // namespace endiverail
