#pragma once

#include "base/time.h"

#include <optional>
#include <string>

namespace endiverail {

/// What a caller's head says about its request beyond HTTP's own fields.
struct request_metadata {
  /// Host in lower case, without a port.
  std::string Host;
  /// How long the caller will wait; nothing where it does not say.
  std::optional<milliseconds> TimeLeft;
  /// The caller's name for this sending of the request; may be empty.
  std::string RequestId;
};

/// A caller that asks which addresses to use.
struct address_query {
  std::string Host;
  std::string Region;
  std::string DataCentre;
};

} // namespace endiverail
