#include "request/caller_request.h"

#include "base/text.h"

#include <algorithm>

namespace endiverail {

std::string_view findHeader(std::span<const header_field> Fields,
                            std::string_view Name) {
  auto Found = std::ranges::find_if(Fields, [&](const header_field &Field) {
    return equalIgnoringCase(Field.Name, Name);
  });
  return Found == Fields.end() ? std::string_view{} : Found->Value;
}

} // namespace endiverail
