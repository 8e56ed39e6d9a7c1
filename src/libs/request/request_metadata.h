#pragma once

#include "base/time.h"

#include <optional>
#include <string>

namespace endiverail {

/// Routing and deadline metadata from the head of a caller's request.
struct request_metadata {
  /// Host in lower case, without a port.
  std::string Host;
  /// Time that the caller will wait for the response, if specified.
  std::optional<milliseconds> TimeLeft;
  /// Id that the caller gave to this attempt of the request; may be empty.
  std::string RequestId;
  /// Key by which the caller's organisation is recognised; empty if there is
  /// none or more than one.
  std::string AccessKey;
};

/// A query by a caller for the addresses that it should use.
struct address_query {
  std::string Host;
  std::string Region;
  std::string DataCentre;
};

} // namespace endiverail
