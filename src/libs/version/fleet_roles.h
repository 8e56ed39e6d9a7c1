#pragma once

#include "version/fleet_view.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Daemons of one data centre that callers are led to while all are well. With
/// few daemons each sees much of the work of a pool, so that its knowledge of
/// failures and of slots in use is fresh, and tells few others of it; with
/// too few, the loss of one is felt by too many callers.
inline constexpr std::size_t EntriesPerDataCentre = 4;

/// Daemons that read the backend servers' statements from the store and tell
/// all others of them: one is enough, and three outlive the loss of two.
inline constexpr std::size_t StoreReaders = 3;

/// The daemons that callers in \p DataCentre are led to: the first offered ones
/// by rendezvous, so that all members with the same view choose alike. Empty
/// when the data centre has none.
std::vector<const proxy_member *>
entriesOf(std::span<const proxy_member> Members, std::string_view DataCentre);

/// The entries of all data centres.
std::vector<const proxy_member *>
allEntries(std::span<const proxy_member> Members);

/// The daemons that read from the store for all, in different data centres
/// where there are several.
std::vector<std::string> storeReaders(std::span<const proxy_member> Members);

} // namespace endiverail
