#pragma once

#include "deployment.h"

#include <algorithm>
#include <cstddef>
#include <ostream>
#include <span>
#include <vector>

namespace endiverail::test {

/// Longest delay of a control thread that isn't logged.
inline constexpr milliseconds MaxThreadDelay{200};
/// Time within which a daemon's control state has to know of a withdrawn
/// server. The rest of LeavingBound covers a control thread that is late with a
/// datagram, with its own wake-up and with the response to its own read.
/// Requests that were placed earlier are checked again once their connection is
/// established.
inline constexpr milliseconds PropagationBound =
    LeavingBound - 3 * MaxThreadDelay;

/// How long packets may queue at a host's link before the users' rules classify
/// the host as slow.
inline constexpr milliseconds MaxLinkDelay{500};
/// How long a thread may be suspended between its last check of a server and
/// the first byte of the request: the period of a host's CPU quota.
inline constexpr milliseconds QuotaPeriod{100};
/// Time after which no request may be placed at a server that was withdrawn.
inline constexpr milliseconds LastRequestBound =
    LeavingBound - MaxLinkDelay - QuotaPeriod;

/// Number of servers that may receive requests at a daemon that didn't learn of
/// a withdrawn server in time.
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
