#pragma once

#include "version/service_definition.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace endiverail {

/// A service definition that the customer has accepted.
struct accepted_service {
  service_definition Definition;
  /// Incremented by each acceptance for the service.
  std::uint64_t Version = 0;
  std::string ContentHash;
};

using accepted_service_ref = std::shared_ptr<const accepted_service>;

/// The set of all accepted services; immutable once built.
class configuration {
public:
  configuration() = default;

  /// \p Services may be in any order; their names must be unique.
  static configuration build(std::span<const accepted_service_ref> Services);

  /// Returns the service called \p Name, or nullptr if there is none.
  accepted_service_ref find(std::string_view Name) const;

  std::span<const accepted_service_ref> services() const { return Services; }

private:
  /// Sorted by name.
  std::vector<accepted_service_ref> Services;
};

} // namespace endiverail
