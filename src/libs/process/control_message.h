#pragma once

#include "process/key_hand_over.h"
#include "process/peer_clocks.h"
#include "process/server_directory.h"
#include "process/swim.h"
#include "process/time_line.h"
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

/// Which version of a service's file a process has in force.
struct service_version {
  std::string Service;
  std::uint64_t Version = 0;

  bool operator==(const service_version &) const = default;
};

/// Tells two processes apart that do not know the same.
struct fleet_digest {
  std::uint64_t Configuration = 0;
  std::uint64_t HostListRevision = 0;

  bool operator==(const fleet_digest &) const = default;
};

/// One datagram between proxies: membership with news in passing.
struct peer_message {
  gossip_message Gossip;
  fleet_digest Digest;
  /// Services whose file has changed a short while ago.
  std::vector<service_version> Changes;
  std::vector<server_death> Deaths;
  std::vector<server_leaving> Leaving;
  std::vector<key_successor> Heirs;
  std::vector<path_fault> PathFaults;
  /// The sender's work with backend servers that other proxies use too.
  std::vector<work_report> Work;
  /// Backend servers that the sender has read of in the store.
  std::vector<server_statement> Statements;
  /// The sender reads the store for all, and the store answers it.
  bool ReadsStore = false;
  /// Of the backend servers that the sender knows.
  std::uint64_t ServersDigest = 0;
  /// How long ago a read of the store has confirmed what the sender knows of
  /// the backend servers; nothing where none has.
  std::optional<milliseconds> ServersAge;
  /// The sender asks for what it lacks: its digest of the servers by parts.
  std::vector<std::uint64_t> ServersQuestion;
  /// When the sender wrote this, by its clock.
  std::optional<steady_stamp> Sent;
  /// The stamp of the receiver's datagram that this one answers.
  std::optional<steady_stamp> AnswerTo;
  hybrid_time Time;
};

/// Asks a peer for what one lacks.
struct pull_request {
  /// What the asker has; with Only set, what it asks for instead.
  std::vector<service_version> Have;
  bool Only = false;
  std::uint64_t HostListRevision = 0;
  bool WantMembers = false;
};

struct pull_reply {
  std::vector<acceptance> Records;
  /// The whole list; revision 0 when the asker's is as new or HostsChange tells
  /// what it lacks.
  host_list Hosts;
  std::optional<host_list_change> HostsChange;
  std::vector<member_update> Members;
  /// What a new process has to know of requests that killed.
  std::vector<server_death> Deaths;
  /// Who holds the keys of proxies that have ended.
  std::vector<key_successor> Heirs;
  std::vector<path_fault> PathFaults;
};

/// One record on the log.
using log_record =
    std::variant<proposal, acceptance, rejection, ejection_claim>;

struct log_entry {
  std::uint64_t Offset = 0;
  /// When the log took it, by the log's clock.
  std::int64_t LogMilliseconds = 0;
  log_record Record;
};

/// A part of the log.
struct log_page {
  /// Oldest record that the log still keeps.
  std::uint64_t First = 0;
  /// Where the next read starts.
  std::uint64_t Next = 0;
  /// Where the log ends.
  std::uint64_t End = 0;
  /// The log's clock.
  std::int64_t NowMilliseconds = 0;
  std::int64_t RetentionMilliseconds = 0;
  std::vector<log_entry> Entries;
  /// Offsets and reasons of records that can't be read.
  std::vector<std::string> Skipped;
};

// What the control state wants done.

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
struct tell_traffic {
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
                 tell_traffic, deliver_keys, publish_version>;
using control_actions = std::vector<control_action>;

} // namespace endiverail
