#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "version/fleet_view.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// A daemon's settings file. docs/SETTINGS.md lists the fields.
struct daemon_settings {
  std::string Id;
  std::string DataCentre;
  endpoint_text Address;
  endpoint_text LogService;
  endpoint_text HostList;
  std::vector<endpoint_text> Seeds;
  /// Shared by the fleet; proves that a peer belongs to it.
  std::string FleetSecret;
  std::vector<std::string> CustomerKeys;
  std::size_t ConnectionThreads = 1;
  std::size_t TrafficThreads = 2;
  std::size_t MostBodyBytes = 0;
  std::size_t BodyMemoryBytes = 0;
  std::size_t KeyMemoryBytes = 0;
  milliseconds KeyLife{0};
  milliseconds ReceiveTimeout{0};
  milliseconds AddressLifetime{0};
  milliseconds DrainTimeout{0};
  std::size_t TimeLineEvents = 0;
};

/// Reads and checks a settings file. Fails with BadSettings; the detail has a
/// line for each mistake.
result<daemon_settings> readDaemonSettings(std::string_view FileName,
                                           std::string_view Text);

} // namespace endiverail
