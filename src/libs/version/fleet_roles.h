#pragma once

#include "version/fleet_view.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Daemons of one data centre that callers are led to at least. With few
/// daemons each sees much of the work of a pool, so that its knowledge of
/// failures and of slots in use is fresh, and tells few others of it; with
/// too few, the loss of one is felt by too many callers.
inline constexpr std::size_t MinEntriesPerDataCentre = 4;

/// Requests a second.
using request_rate = double;

/// What the entries of one data centre have to carry together, going by what
/// the backend servers can answer.
request_rate requiredRequestRate(const fleet_view &View);

/// Daemons that read the backend servers' statements from the store and tell
/// all others of them: one is enough, and three outlive the loss of two.
inline constexpr std::size_t StoreReaderCount = 3;

/// The daemons that callers in \p DataCentre are led to: those whose hosts
/// carry most, by rendezvous among equals, until they carry \p Needed together.
/// All members with the same view choose alike. Empty when the data centre has
/// none.
std::vector<const proxy_member *>
chooseEntries(std::span<const proxy_member> Members,
              std::string_view DataCentre, request_rate RequiredRate = 0);

/// The entries of all data centres.
std::vector<const proxy_member *>
chooseAllEntries(std::span<const proxy_member> Members,
                 request_rate RequiredRate = 0);

/// The daemons that read from the store for all, in different data centres
/// where there are several.
std::vector<std::string>
chooseStoreReaders(std::span<const proxy_member> Members);

} // namespace endiverail
