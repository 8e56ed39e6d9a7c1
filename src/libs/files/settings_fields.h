#pragma once

#include "base/text.h"
#include "base/time.h"
#include "files/checked_json.h"
#include "version/fleet_view.h"

#include <string>
#include <string_view>

namespace endiverail {

/// An endpoint that must be there.
inline endpoint_text readEndpoint(checked_object &File, std::string_view Name) {
  std::string Text = File.requiredText(Name);
  if (!Text.empty() && !isEndpoint(Text))
    File.mistake(Name, "expected \"a.b.c.d:port\"");
  return Text;
}

/// A time in whole milliseconds.
inline milliseconds readTime(checked_object &File, std::string_view Name,
                             std::uint64_t Default, number_range Range) {
  return milliseconds(File.optionalNumber(Name, Default, Range));
}

} // namespace endiverail
