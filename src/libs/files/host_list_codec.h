#pragma once

#include "base/error_kind.h"
#include "version/host_list.h"

#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

inline constexpr std::string_view HostsTarget = "/hosts";

/// A host list and what in it made no sense.
struct decoded_host_list {
  host_list Hosts;
  std::vector<std::string> Skipped;
};

/// Reads the platform's host list. Entries that make no sense are skipped.
/// Fails with BadRecord when it is no host list at all.
result<decoded_host_list> decodeHostList(std::string_view Text);

/// The host list as the platform gives it out.
std::string encodeHostList(const host_list &Hosts);

} // namespace endiverail
