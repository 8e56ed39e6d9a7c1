#pragma once

#include "base/error_kind.h"
#include "base/time.h"
#include "version/configuration.h"
#include "version/fleet_view.h"
#include "version/request_limits.h"
#include "version/route_table.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace endiverail {

/// What the fleet reads from a store that keeps the newest record of each key.
enum class store_topic {
  Configuration,
  BackendServers,
  /// The fleet's own: daemons find each other here.
  Members,
};

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

/// One record of a topic.
struct keyed_record {
  std::string Key;
  /// Nothing when the key was removed.
  std::optional<std::string> Value;
};

/// A part of a topic.
struct keyed_page {
  std::vector<keyed_record> Records;
  /// Whether a listing of newest records goes on after the last key here.
  bool HasMore = false;
  /// Offset after the last record of the topic. The records of a read have
  /// offsets without gaps from where it began.
  std::uint64_t EndOffset = 0;
};

// Calls to the store, apart from their encoding.

/// Lists the newest record of each key after \p After.
struct list_newest {
  store_topic Topic = store_topic::Configuration;
  std::string AfterKey;
};
/// Reads records from an offset on, and waits for one if there is none.
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

/// A call as an HTTP request.
struct encoded_call {
  std::string Method;
  std::string Target;
  std::string Body;
};

/// A whole configuration as it is published.
struct published_configuration {
  std::uint64_t Version = 0;
  configuration Services;
  route_table_ref Routes;
  request_limits Limits;
};

/// One backend server as it registers itself.
struct server_entry {
  backend_server Server;
  /// Grows with each statement of one life.
  std::uint64_t Sequence = 0;
};

/// Encodes calls to the store and decodes what it answers.
template <typename T>
concept store_protocol = requires(const T Protocol, const store_call &Call,
                                  std::string_view Body, std::string_view Key,
                                  steady_time Now) {
  { Protocol.encode(Call) } -> std::same_as<encoded_call>;
  { Protocol.decodeNewest(Body) } -> std::same_as<result<keyed_page>>;
  { Protocol.decodeRecords(Body) } -> std::same_as<result<keyed_page>>;
  /// Whether a status says that the records asked for are deleted.
  { Protocol.meansRecordsDeleted(int{}) } -> std::same_as<bool>;
  /// The key of the configuration within its topic.
  { Protocol.configurationKey() } -> std::same_as<std::string_view>;
  {
    Protocol.decodeConfiguration(Body)
    } -> std::same_as<result<published_configuration>>;
  /// Fails with BadRecord for a record that names no server to use.
  {
    Protocol.decodeServer(Key, Body, Now)
    } -> std::same_as<result<server_entry>>;
};

} // namespace endiverail
