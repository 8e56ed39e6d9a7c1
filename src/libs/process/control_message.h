#pragma once

#include "process/key_hand_over.h"
#include "process/peer_clocks.h"
#include "process/server_directory.h"
#include "process/swim.h"
#include "process/timeline.h"
#include "process/traffic_message.h"
#include "version/ejection_claim.h"
#include "version/host_list_change.h"
#include "version/record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace endiverail {

/// The version of a service's file that a process has in force.
struct service_version {
  std::string Service;
  std::uint64_t Version = 0;

  bool operator==(const service_version &) const = default;
};

/// Detects that two processes have different data.
struct fleet_digest {
  std::uint64_t Configuration = 0;
  std::uint64_t HostListRevision = 0;

  bool operator==(const fleet_digest &) const = default;
};

/// A datagram between proxies: a membership message with piggybacked gossip
/// items.
struct peer_message {
  gossip_message Gossip;
  fleet_digest Digest;
  /// Services whose file changed recently.
  std::vector<service_version> Changes;
  std::vector<server_death> Deaths;
  std::vector<server_leaving> Leaving;
  std::vector<key_successor> Heirs;
  std::vector<path_fault> PathFaults;
  /// Results of the sender's requests to backend servers that other proxies use
  /// too.
  std::vector<work_report> Work;
  /// Backend servers that the sender has read from the store.
  std::vector<server_statement> Statements;
  /// The sender reads the store on behalf of the fleet, and the store is
  /// responding.
  bool ReadsStore = false;
  /// Digest of the backend servers that the sender knows.
  std::uint64_t ServersDigest = 0;
  /// Time since a read of the store last confirmed the sender's backend
  /// servers; unset if none has.
  std::optional<milliseconds> ServersAge;
  /// Requests missing backend servers: the sender's digest of each part of its
  /// backend servers.
  std::vector<std::uint64_t> ServersDigestParts;
  /// Time of sending, by the sender's clock.
  std::optional<steady_timestamp> Sent;
  /// The timestamp of the datagram that this one answers.
  std::optional<steady_timestamp> AnswerTo;
  /// Requests of organisations that the receiver coordinates.
  std::optional<quota_report> QuotaReport;
  /// Shares of organisations that the sender coordinates.
  std::vector<quota_share> QuotaShares;
  /// The latest history of the store that the sender knows of.
  std::optional<std::uint64_t> StoreHistory;
  hybrid_time Time;
};

/// Requests data that the sender lacks from a peer.
struct pull_request {
  /// The versions that the requester has. With OnlyListed set, the versions
  /// that it requests instead.
  std::vector<service_version> Have;
  bool OnlyListed = false;
  std::uint64_t HostListRevision = 0;
  bool WantMembers = false;
};

struct pull_reply {
  std::vector<acceptance> Records;
  /// The complete list. Its revision is 0 if the requester's list is up to date
  /// or HostsChange contains the difference.
  host_list Hosts;
  std::optional<host_list_change> HostsChange;
  std::vector<member_update> Members;
  /// Requests that were running when a backend server died, for a process that
  /// missed the datagrams.
  std::vector<server_death> Deaths;
  /// Which proxies hold the keys of proxies that have shut down.
  std::vector<key_successor> Heirs;
  std::vector<path_fault> PathFaults;
};

/// A record of the log.
using log_record =
    std::variant<proposal, acceptance, rejection, ejection_claim>;

struct log_entry {
  std::uint64_t Offset = 0;
  /// Time of the append, by the log's clock.
  std::int64_t LogMilliseconds = 0;
  log_record Record;
};

/// A page of the log.
struct log_page {
  /// Offset of the oldest record that the log retains.
  std::uint64_t First = 0;
  /// Offset at which the next read starts.
  std::uint64_t Next = 0;
  /// Offset of the end of the log.
  std::uint64_t End = 0;
  /// Current time of the log's clock.
  std::int64_t NowMilliseconds = 0;
  std::int64_t RetentionMilliseconds = 0;
  std::vector<log_entry> Entries;
  /// Offsets of records that can't be read, with the reason.
  std::vector<std::string> Skipped;
};

// Actions that the control state requests.

struct send_datagram {
  endpoint_text To;
  peer_message Message;
};
struct pull_from {
  endpoint_text Peer;
  pull_request Request;
};
struct read_log {
  std::uint64_t From = 0;
};
struct read_hosts {};
struct append_log {
  log_record Record;
};
struct notify_traffic {
  std::variant<ejection_changed, server_death, inherited_keys> Message;
};
struct deliver_keys {
  endpoint_text To;
  key_hand_over Part;
};
struct publish_version {
  fleet_version_ref Version;
};

using control_action =
    std::variant<send_datagram, pull_from, read_log, read_hosts, append_log,
                 notify_traffic, deliver_keys, publish_version>;
using control_actions = std::vector<control_action>;

} // namespace endiverail
