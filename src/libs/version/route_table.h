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

/// A service and its share of the requests of a route.
struct weighted_service {
  std::string Service;
  std::uint32_t Weight = 1;
};

/// Matches requests by host and path prefix.
struct route {
  std::string Host;
  /// Starts and ends with a slash.
  std::string PathPrefix;
  /// Properties of the requests; the method and path pattern are not used.
  work_kind Kind;
  /// Must not be empty; requests are distributed in proportion to the weights.
  std::vector<weighted_service> Services;
  /// Whether requests need no access key.
  bool Public = false;
};

/// All routes of one version, with lookup by host and longest path prefix;
/// immutable once built.
class route_table {
public:
  /// Fails with BadRecord if a route has no service, a total weight of zero, a
  /// prefix without a leading or trailing slash, or a duplicate.
  static result<std::shared_ptr<const route_table>>
  build(std::vector<route> Routes);

  /// Returns the route of a request, or nullptr if none matches. \p Path must
  /// not contain a query.
  const route *find(std::string_view Host, std::string_view Path) const;

  std::span<const route> routes() const { return Routes; }

private:
  using prefix_index =
      std::unordered_map<std::string, std::size_t, text_hash, std::equal_to<>>;

  std::vector<route> Routes;
  /// Indexes into Routes by host, then by prefix.
  std::unordered_map<std::string, prefix_index, text_hash, std::equal_to<>>
      Hosts;
};

using route_table_ref = std::shared_ptr<const route_table>;

/// Chooses the service for the request with the sequence number \p Position
/// among the requests of its route. Any run of consecutive requests is
/// distributed as closely to the weights as possible.
const weighted_service &chooseService(const route &Route,
                                      std::uint64_t Position);

} // namespace endiverail
