#include "version/service_definition.h"

#include <algorithm>

namespace endiverail {

const work_kind *service_definition::findKind(std::string_view Method,
                                              std::string_view Path) const {
  auto Found = std::ranges::find_if(Kinds, [&](const work_kind &Kind) {
    return Kind.Method == Method && Kind.Path.matches(Path);
  });
  return Found == Kinds.end() ? nullptr : &*Found;
}

} // namespace endiverail
