#pragma once

#include "version/fleet_view.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace endiverail {

/// Minimum number of entry daemons per data centre. A small number lets each
/// daemon see a large part of a pool's traffic, which keeps its knowledge of
/// failures and occupied slots current, and limits the number of peers that it
/// has to update. If it is too small, the loss of one daemon affects too many
/// callers.
inline constexpr std::size_t MinEntriesPerDataCentre = 4;

/// In requests per second.
using request_rate = double;

/// Returns the total request rate that the entry daemons of one data centre
/// must be able to handle, estimated from the capacity of the backend servers.
request_rate requiredRequestRate(const fleet_view &View);

/// Number of daemons that read the statements of the backend servers from the
/// store and distribute them to the others. One is sufficient; three tolerate
/// the loss of two.
inline constexpr std::size_t StoreReaderCount = 3;

/// Returns the entry daemons that callers in \p DataCentre are directed to, in
/// descending order of host capacity, until their total capacity reaches
/// \p RequiredRate. Rendezvous hashing breaks ties. Members with the same view
/// choose the same daemons. Empty if the data centre has none.
std::vector<const proxy_member *>
chooseEntries(std::span<const proxy_member> Members,
              std::string_view DataCentre, request_rate RequiredRate = 0);

/// Returns the entry daemons of all data centres.
std::vector<const proxy_member *>
chooseAllEntries(std::span<const proxy_member> Members,
                 request_rate RequiredRate = 0);

/// Returns the ids of the daemons that read from the store on behalf of all
/// others, spread over different data centres where possible.
std::vector<std::string>
chooseStoreReaders(std::span<const proxy_member> Members);

} // namespace endiverail
