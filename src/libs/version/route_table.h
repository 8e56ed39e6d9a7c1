#pragma once

#include "base/error_kind.h"
#include "base/text.h"
#include "version/service_definition.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endiverail {

/// A service and its part of a route's requests.
struct weighted_service {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Requests of one host under one path prefix.
struct route {
  std::string Host;
  /// Begins and ends with a slash.
  std::string PathPrefix;
  /// What the requests are; its method and path pattern are not used.
  work_kind Kind;
  /// At least one; the parts are in proportion to the weights.
  std::vector<weighted_service> Services;
};

/// All routes of one version, found by host and longest path prefix;
/// immutable once built.
class route_table {
public:
  /// Fails with BadRecord when a route has no service, a prefix without its
  /// slashes, weights that add up to nothing, or stands twice.
  static result<std::shared_ptr<const route_table>>
  build(std::vector<route> Routes);

  /// The route of a request, or nullptr. \p Path is without its query.
  const route *find(std::string_view Host, std::string_view Path) const;

  std::span<const route> routes() const { return Routes; }

private:
  using prefix_index =
      std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>;

  std::vector<route> Routes;
  /// Positions in Routes by host, then by prefix.
  std::unordered_map<std::string, prefix_index, text_hash, std::equal_to<>>
      Hosts;
};

using route_table_ref = std::shared_ptr<const route_table>;

/// The service that takes the request whose position among its route's
/// requests is \p Position: any run of requests is shared out by weight as
/// evenly as it can be.
const weighted_service &chooseService(const route &Route,
                                      std::uint64_t Position);

} // namespace endiverail
