#pragma once

#include "base/error_kind.h"
#include "version/fleet_view.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// What an operator's command line needs to know of a fleet.
struct fleet_file {
  endpoint_text LogService;
  std::vector<endpoint_text> Daemons;
  /// Public keys of the customer.
  std::vector<std::string> CustomerKeys;
};

/// Reads and checks a fleet file. Fails with BadSettings.
result<fleet_file> readFleetFile(std::string_view FileName,
                                 std::string_view Text);

} // namespace endiverail
