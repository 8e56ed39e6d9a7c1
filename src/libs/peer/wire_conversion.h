#pragma once

#include "peer_types.h"
#include "process/control_message.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <ranges>
#include <vector>

namespace endiverail {

// Between what the control state knows and what Thrift encodes.

std::int64_t toWire(std::uint64_t Value);
std::uint64_t fromWire(std::int64_t Value);
wire::Member toWire(const member_update &Update);
member_update fromWire(const wire::Member &Member);
wire::ServiceVersion toWire(const service_version &Version);
service_version fromWire(const wire::ServiceVersion &Version);
wire::Death toWire(const server_death &Death);
server_death fromWire(const wire::Death &Death);
wire::Leaving toWire(const server_leaving &Leaving);
server_leaving fromWire(const wire::Leaving &Leaving);
wire::Acceptance toWire(const acceptance &Record);
/// Fails with the error of a service's file that can't be read.
result<acceptance> fromWire(const wire::Acceptance &Wire);
wire::EntryHost toWire(const entry_host &Host);
entry_host fromWire(const wire::EntryHost &Host);
wire::Server toWire(const backend_server &Server);
backend_server fromWire(const wire::Server &Server);
wire::HostsChange toWire(const host_list_change &Change);
host_list_change fromWire(const wire::HostsChange &Change);
wire::Incarnation toWire(const proxy_incarnation &Incarnation);
proxy_incarnation fromWire(const wire::Incarnation &Incarnation);
wire::KeyHeir toWire(const key_successor &Heir);
key_successor fromWire(const wire::KeyHeir &Heir);
wire::PathFault toWire(const path_fault &Fault);
path_fault fromWire(const wire::PathFault &Fault);
wire::ServerWork toWire(const server_work &Work);
server_work fromWire(const wire::ServerWork &Work);
wire::WorkReport toWire(const work_report &Report);
work_report fromWire(const wire::WorkReport &Report);
wire::ServerStatement toWire(const server_statement &Statement);
server_statement fromWire(const wire::ServerStatement &Statement);
wire::QuotaUse toWire(const quota_use &Use);
quota_use fromWire(const wire::QuotaUse &Use);
wire::QuotaReport toWire(const quota_report &Report);
quota_report fromWire(const wire::QuotaReport &Report);
wire::QuotaShare toWire(const quota_share &Share);
quota_share fromWire(const wire::QuotaShare &Share);
wire::Header toWire(const header_field &Header);
header_field fromWire(const wire::Header &Header);
wire::RememberedKey toWire(const remembered_key &Key);
remembered_key fromWire(const wire::RememberedKey &Key);

inline constexpr auto ToWire = [](const auto &Item) { return toWire(Item); };
inline constexpr auto FromWire = [](const auto &Item) {
  return fromWire(Item);
};

/// The items of a list, each converted.
template <typename To, std::ranges::input_range Items, typename Convert>
std::vector<To> converted(const Items &From, Convert &&Each) {
  std::vector<To> Result;
  Result.reserve(std::ranges::size(From));
  std::ranges::transform(From, std::back_inserter(Result), Each);
  return Result;
}

} // namespace endiverail
