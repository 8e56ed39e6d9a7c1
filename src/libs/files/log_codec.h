#pragma once

#include "process/control_message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace endiverail {

// The log service's HTTP interface. docs/INTERFACES.md describes it.

inline constexpr std::string_view AppendTarget = "/log/append";

/// Target of a read from \p From on.
std::string logReadTarget(std::uint64_t From);

/// Reads the answer to a read. Records that are torn or foreign are skipped,
/// with a reason each. Fails with BadRecord when the answer itself is not one.
result<log_page> decodeLogPage(std::string_view Text);

} // namespace endiverail
