#pragma once

#include "version/service_definition.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace endiverail {

/// One service's definition as the customer accepted it.
struct accepted_service {
  service_definition Definition;
  /// Grows by one with each acceptance for the service.
  std::uint64_t Version = 0;
  std::string ContentHash;
};

using accepted_service_ref = std::shared_ptr<const accepted_service>;

/// All accepted services; immutable once built.
class configuration {
public:
  configuration() = default;

  /// Takes the services in any order; names are unique.
  static configuration build(std::span<const accepted_service_ref> Services);

  /// The service of that name, or nullptr.
  accepted_service_ref find(std::string_view Name) const;

  std::span<const accepted_service_ref> services() const { return Services; }

private:
  /// Sorted by name.
  std::vector<accepted_service_ref> Services;
};

} // namespace endiverail
