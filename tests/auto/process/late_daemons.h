#pragma once

#include "deployment.h"

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <span>
#include <vector>

namespace endiverail::test {

/// How late a control thread may be without a line that says so.
inline constexpr milliseconds MaxThreadDelay{200};
/// In which a daemon's control state has to know, so that the bound holds with
/// a control thread that is late with a datagram, with its own wake and with
/// the answer to its own read. What is placed before is checked once more when
/// its connection is there.
inline constexpr milliseconds PropagationBound =
    LeavingBound - 3 * MaxThreadDelay;

/// How long packets may wait at a host's link before the users' rules take the
/// host for slowed.
inline constexpr milliseconds MaxLinkDelay{500};
/// How long a thread may stand between its last look at a server and the
/// request's first byte: a host's quota of processor time is for a tenth of a
/// second.
inline constexpr milliseconds QuotaPeriod{100};
/// From when on no request may be placed at a server that has left.
inline constexpr milliseconds LastRequestBound =
    LeavingBound - MaxLinkDelay - QuotaPeriod;

/// Servers that may get work at a daemon that did not hear of the end of work
/// in time.
struct late_daemon {
  std::size_t Index = 0;
  std::size_t Usable = 0;

  bool operator==(const late_daemon &) const = default;
};

inline std::ostream &operator<<(std::ostream &Out, const late_daemon &Late) {
  return Out << "daemon " << Late.Index << " uses " << Late.Usable;
}

inline std::vector<late_daemon>
lateDaemons(const deployment &Fleet, std::size_t Count, std::size_t Withdrawn,
            std::span<const std::size_t> Excluded = {}) {
  std::vector<late_daemon> Late;
  for (std::size_t Index = 0; Index < Count; ++Index)
    if (Fleet.usableServersAt(Index) != deployment::ServerCount - Withdrawn &&
        std::ranges::find(Excluded, Index) == Excluded.end())
      Late.push_back({Index, Fleet.usableServersAt(Index)});
  return Late;
}

} // namespace endiverail::test
