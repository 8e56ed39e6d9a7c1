#include "version/route_table.h"

#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

namespace endiverail {
namespace {

std::uint64_t weightSum(const route &Route) {
  return std::transform_reduce(Route.Services.begin(), Route.Services.end(),
                               std::uint64_t{0}, std::plus{},
                               std::mem_fn(&weighted_service::Weight));
}

result<void> check(const route &Route) {
  const std::string &Prefix = Route.PathPrefix;
  if (!Prefix.starts_with('/') || !Prefix.ends_with('/'))
    return fail(error_kind::BadRecord,
                "path prefix must start and end with a slash: \"" + Prefix +
                    "\"");
  if (weightSum(Route) == 0)
    return fail(error_kind::BadRecord,
                "route has no service with a positive weight: " + Route.Host +
                    Route.PathPrefix);
  return {};
}

/// Reverses the bits of \p Value. Consecutive values are mapped evenly over the
/// whole range (van der Corput sequence).
std::uint32_t reversedBits(std::uint32_t Value) {
  Value = ((Value >> 1) & 0x55555555U) | ((Value & 0x55555555U) << 1);
  Value = ((Value >> 2) & 0x33333333U) | ((Value & 0x33333333U) << 2);
  Value = ((Value >> 4) & 0x0f0f0f0fU) | ((Value & 0x0f0f0f0fU) << 4);
  Value = ((Value >> 8) & 0x00ff00ffU) | ((Value & 0x00ff00ffU) << 8);
  return (Value >> 16) | (Value << 16);
}

} // namespace

result<std::shared_ptr<const route_table>>
route_table::build(std::vector<route> Routes) {
  auto Table = std::make_shared<route_table>();
  Table->Routes = std::move(Routes);
  for (std::size_t Index = 0; Index < Table->Routes.size(); ++Index) {
    const route &Route = Table->Routes[Index];
    BOOST_LEAF_CHECK(check(Route));
    bool Added =
        Table->Hosts[Route.Host].try_emplace(Route.PathPrefix, Index).second;
    if (!Added)
      return fail(error_kind::BadRecord,
                  "duplicate route: " + Route.Host + Route.PathPrefix);
  }
  return std::shared_ptr<const route_table>(std::move(Table));
}

const route *route_table::find(std::string_view Host,
                               std::string_view Path) const {
  auto Prefixes = Hosts.find(Host);
  if (Prefixes == Hosts.end())
    return nullptr;
  for (std::size_t Slash = Path.rfind('/'); Slash != std::string_view::npos;
       Slash = Slash == 0 ? std::string_view::npos
                          : Path.rfind('/', Slash - 1)) {
    auto Found = Prefixes->second.find(Path.substr(0, Slash + 1));
    if (Found != Prefixes->second.end())
      return &Routes[Found->second];
  }
  return nullptr;
}

const weighted_service &chooseService(const route &Route,
                                      std::uint64_t Position) {
  std::uint64_t Sum = weightSum(Route);
  std::uint64_t Point =
      (Sum * reversedBits(static_cast<std::uint32_t>(Position))) >> 32;
  for (const weighted_service &Part : Route.Services) {
    if (Point < Part.Weight)
      return Part;
    Point -= Part.Weight;
  }
  return Route.Services.back();
}

} // namespace endiverail
