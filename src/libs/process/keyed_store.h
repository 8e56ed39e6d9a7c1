#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "request/caller_request.h"
#include "version/configuration.h"
#include "version/fleet_view.h"
#include "version/organisation_table.h"
#include "version/request_limits.h"
#include "version/route_table.h"

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiverail {

/// The topics that daemons read from a store that keeps the newest record of
/// each key.
enum class store_topic {
  Configuration,
  BackendServers,
  /// The daemons' own registrations, by which they discover each other.
  Members,
};

inline constexpr std::array StoreTopics{store_topic::Configuration,
                                        store_topic::BackendServers,
                                        store_topic::Members};

constexpr std::string_view topicName(store_topic Topic) {
  switch (Topic) {
  case store_topic::Configuration:
    return "configuration";
  case store_topic::BackendServers:
    return "backend_servers";
  case store_topic::Members:
    break;
  }
  return "members";
}

struct keyed_record {
  std::string Key;
  /// Empty if the key was removed.
  std::optional<std::string> Value;
};

/// One page of a topic's records.
struct keyed_page {
  std::vector<keyed_record> Records;
  /// Whether the listing continues after the last key of this page.
  bool HasMore = false;
  /// Offset after the last record of the topic. The records of a read have
  /// consecutive offsets, beginning with the offset that was requested.
  std::uint64_t EndOffset = 0;
};

// Calls to the store, independent of their encoding.

/// Lists the newest record of each key after \p AfterKey.
struct list_newest {
  store_topic Topic = store_topic::Configuration;
  std::string AfterKey;
};
/// Reads records from an offset on. If there is none, the store waits for one
/// for up to \p MaxWait.
struct read_records {
  store_topic Topic = store_topic::Configuration;
  std::uint64_t FromOffset = 0;
  milliseconds MaxWait{0};
};
/// Writes a record, or removes its key.
struct put_record {
  store_topic Topic = store_topic::Members;
  std::string Key;
  std::optional<std::string> Value;
};
using store_call = std::variant<list_newest, read_records, put_record>;

/// A call encoded as an HTTP request.
struct encoded_call {
  std::string Method;
  std::string Target;
  std::string Body;
};

/// A complete published configuration.
struct published_configuration {
  std::uint64_t Version = 0;
  configuration Services;
  route_table_ref Routes;
  request_limits Limits;
  /// Null if the configuration names no organisations.
  organisation_table_ref Organisations;
};

/// The registration of one backend server.
struct server_entry {
  backend_server Server;
  /// Increases with each registration of the same server process.
  std::uint64_t Sequence = 0;
};

/// Encodes calls to the store and decodes its responses.
template <typename T>
concept store_protocol = requires(const T Protocol, const store_call &Call,
                                  std::string_view Body, std::string_view Key,
                                  steady_time Now) {
  { Protocol.encode(Call) } -> std::same_as<encoded_call>;
  { Protocol.decodeNewest(Body) } -> std::same_as<result<keyed_page>>;
  { Protocol.decodeRecords(Body) } -> std::same_as<result<keyed_page>>;
  /// Which history of the store an answer is from, if it says so. The number
  /// increases when the store loses its newest records and assigns their
  /// offsets again.
  {
    Protocol.historyOf(std::span<const header_field>())
    } -> std::same_as<std::optional<std::uint64_t>>;
  /// Whether a status means that the requested records were deleted.
  { Protocol.meansRecordsDeleted(int{}) } -> std::same_as<bool>;
  /// The key of the configuration within its topic.
  { Protocol.configurationKey() } -> std::same_as<std::string_view>;
  {
    Protocol.decodeConfiguration(Body)
    } -> std::same_as<result<published_configuration>>;
  /// Fails with BadRecord if the record doesn't describe a usable server.
  {
    Protocol.decodeServer(Key, Body, Now)
    } -> std::same_as<result<server_entry>>;
};

} // namespace endiverail
