#include "version/configuration.h"

#include <algorithm>

namespace endiverail {
namespace {

std::string_view nameOf(const accepted_service_ref &Service) {
  return Service->Definition.Name;
}

} // namespace

configuration
configuration::build(std::span<const accepted_service_ref> Services) {
  configuration Built;
  Built.Services.assign(Services.begin(), Services.end());
  std::ranges::sort(Built.Services, {}, nameOf);
  return Built;
}

accepted_service_ref configuration::find(std::string_view Name) const {
  auto Found = std::ranges::lower_bound(Services, Name, {}, nameOf);
  if (Found == Services.end() || nameOf(*Found) != Name)
    return nullptr;
  return *Found;
}

} // namespace endiverail
